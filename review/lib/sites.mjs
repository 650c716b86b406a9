/** Settings and configurations like those of the users' deployments, for a few hosts. */

const COMMON = {
  heartbeat_ms: 1_500,
  contracts: 'base,drain,config,cost,retry,recover,health,platform',
  'limits.disk_mb': 0,
  'limits.cores': 1,
  'bounds.seed_lag_s': 3,
  'bounds.reuse_after_s': 2,
  'bounds.stability_window_ms': 4_000,
  'bounds.grace_s': 6,
  'bounds.loss_slack_ms': 200,
  'bounds.revert_slack_ms': 250,
  'bounds.retry_budget_ratio': 0.2,
  'bounds.budget_window_s': 10,
  'bounds.recover_s': 15,
  'bounds.ttl_max_s': 5,
  'bounds.probes_per_s': 3,
  'bounds.floor_share': 0.7,
  'platform.writes_per_s': 400,
  'platform.reads_per_s': 2_000,
  'platform.parts': 12,
  'platform.append_ms': 2,
  'platform.keep_s': 300,
  'platform.ttl_min_ms': 1_000,
};

/** As on the sheet of the lamp workshop. */
export const KREUPEL = {
  ...COMMON,
  'limits.cpu_share': 0.54,
  'limits.memory_mb': 350,
  'limits.max_fds': 4_100,
  'limits.link_mbps': 1_000,
  'bounds.ack_ms': 4_000,
  'bounds.catch_up_s': 4,
  'bounds.drain_ms': 2_500,
  'bounds.config_apply_ms': 2_500,
  'bounds.max_stretch_ms': 5_000,
  'bounds.retry_slack': 58,
};

/** As on the sheet of the heating oil delivery, for its largest machines. */
export const HINOKUNI = {
  ...COMMON,
  'limits.cpu_share': 0.675,
  'limits.cores': 2,
  'limits.memory_mb': 602,
  'limits.max_fds': 8_192,
  'limits.link_mbps': 140,
  'bounds.ack_ms': 6_000,
  'bounds.catch_up_s': 6,
  'bounds.drain_ms': 3_000,
  'bounds.config_apply_ms': 3_000,
  'bounds.max_stretch_ms': 6_000,
  'bounds.strict_revoke': false,
  'bounds.revoke_ms': 5_000,
  'bounds.retry_slack': 168,
  'bounds.quota_window_s': 5,
  'bounds.quota_excess': 0.1,
  'bounds.quota_slack': 20,
};

/** As in the example of a configuration that `fleetbench wire` shows. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 67_108_864,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** One route of a host. */
export function createRule({ prefix, kind, service, timeout, priority = 1, aim = 3_000 }) {
  return {
    name: `r-${service}`,
    kind,
    aim_ms: aim,
    priority,
    match: { path_prefix: prefix },
    action: { service, timeout_ms: timeout, max_attempts: 2 },
  };
}

export function createCluster(name) {
  return { name, health_path: '/health', max_conns: 330, protocol: 'h1', tls: false };
}
