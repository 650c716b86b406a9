/** Time between two probes of one daemon. */
export const PROBE_PERIOD_MILLISECONDS = 1_000;
/** Wait for a direct answer before others are asked to probe. */
export const DIRECT_WAIT_MILLISECONDS = 350;
/** Others that are asked to probe. */
export const INDIRECT_PROBES = 3;
/** Shortest time between suspicion and death. */
export const SUSPICION_MINIMUM_MILLISECONDS = 3_000;
/** Added to the suspicion time for each tenfold growth of the fleet. */
export const SUSPICION_PER_DECADE_MILLISECONDS = 1_000;
/** Time between two contacts with a seed or a dead member, to find healed partitions. */
export const REJOIN_PERIOD_MILLISECONDS = 3_000;
/** Statements that go with one message. */
export const UPDATES_PER_MESSAGE = 6;
/** Members that are told at once of a new configuration. */
export const NEWS_FANOUT = 3;
/** A daemon that has heard nothing for this long doubts itself. */
export const SILENCE_MILLISECONDS = 3_000;
/** A dead or departed member is forgotten after this time. */
export const FORGET_MILLISECONDS = 3_600_000;
/** A probe loop that ran late by this much blames nobody. */
export const LATENESS_MILLISECONDS = 500;
