/** Settings of the connections between daemons. */
import type { ChannelOptions } from '@grpc/grpc-js';

/** Covers 30 Mbit/s over a round trip of 60 ms twice over. */
const FLOW_CONTROL_WINDOW_BYTES = 512 * 1024;
const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;
/** A silent connection is found within the sum of these two. */
const KEEPALIVE_MILLISECONDS = 1_000;
const KEEPALIVE_TIMEOUT_MILLISECONDS = 1_000;
const RECONNECT_MINIMUM_MILLISECONDS = 100;
const RECONNECT_MAXIMUM_MILLISECONDS = 2_000;

const COMMON: ChannelOptions = {
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_MILLISECONDS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MILLISECONDS,
};

export const SERVER_OPTIONS: ChannelOptions = COMMON;

/** The library's own retries are off: a request that a peer may have run is never sent again. */
export const CLIENT_OPTIONS: ChannelOptions = {
  ...COMMON,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.initial_reconnect_backoff_ms': RECONNECT_MINIMUM_MILLISECONDS,
  'grpc.max_reconnect_backoff_ms': RECONNECT_MAXIMUM_MILLISECONDS,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
};
