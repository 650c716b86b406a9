/** Time between two probes by one daemon. */
export const PROBE_PERIOD_MILLISECONDS = 1_000;
/** Timeout of a direct probe, and then of the probes that other members are asked for. */
export const DIRECT_PROBE_TIMEOUT_MILLISECONDS = 350;
/** Members that are asked to probe on this daemon's behalf. */
export const INDIRECT_PROBES = 3;
/** Minimum time before a suspect member is declared dead. */
export const SUSPICION_MINIMUM_MILLISECONDS = 3_000;
/** Added to the suspicion time for each tenfold increase of the fleet's size. */
export const SUSPICION_PER_DECADE_MILLISECONDS = 1_000;
/** Time between two messages to a seed or dead member, sent to detect healed partitions. */
export const REJOIN_PERIOD_MILLISECONDS = 3_000;
/** Member updates per message. */
export const UPDATES_PER_MESSAGE = 6;
/** Members to which a new configuration is announced at once. */
export const UPDATE_FANOUT = 3;
/** A daemon that received nothing for this long considers itself isolated. */
export const ISOLATION_TIMEOUT_MILLISECONDS = 3_000;
/** A dead or departed member is removed from the table after this time. */
export const GONE_MEMBER_RETENTION_MILLISECONDS = 3_600_000;
/** A probe that exceeds its timeouts by more than this doesn't make its member suspect. */
export const PROBE_LATENESS_LIMIT_MILLISECONDS = 500;
