/** gRPC channel options of the connections between daemons. */
import type { ChannelOptions } from '@grpc/grpc-js';

/** At least twice the bandwidth-delay product of 30 Mbit/s at a round-trip time of 60 ms. */
const FLOW_CONTROL_WINDOW_BYTES = 512 * 1024;
const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;
/** A silent connection is detected within the sum of the interval and the timeout. */
const KEEPALIVE_INTERVAL_MILLISECONDS = 1_000;
const KEEPALIVE_TIMEOUT_MILLISECONDS = 1_000;
const INITIAL_RECONNECT_BACKOFF_MILLISECONDS = 100;
const MAXIMUM_RECONNECT_BACKOFF_MILLISECONDS = 2_000;

const COMMON_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MILLISECONDS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MILLISECONDS,
};

export const SERVER_OPTIONS: ChannelOptions = COMMON_OPTIONS;

/** Without the gRPC library's own retries: a request that a peer may have run is never retried. */
export const CLIENT_OPTIONS: ChannelOptions = {
  ...COMMON_OPTIONS,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.initial_reconnect_backoff_ms': INITIAL_RECONNECT_BACKOFF_MILLISECONDS,
  'grpc.max_reconnect_backoff_ms': MAXIMUM_RECONNECT_BACKOFF_MILLISECONDS,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
};
