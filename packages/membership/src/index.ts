export { default as Membership } from './Membership.js';
export { openUdpTransport } from './MemberTransport.js';
export {
  ISOLATION_TIMEOUT_MILLISECONDS,
  PROBE_PERIOD_MILLISECONDS,
} from './MembershipConstants.js';
export type { Member, MemberState } from './Member.js';
export type { MembershipEvent, MembershipOptions } from './Membership.js';
export type { MemberTransport, TransportCounters, UdpTransport } from './MemberTransport.js';
