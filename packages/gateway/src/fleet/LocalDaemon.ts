/** This daemon as described to its peers: its identity, readiness and versions. */
import type FleetMembers from './FleetMembers.js';
import type { GatewayOptions } from '../wiring/GatewayOptions.js';
import type { SharedState } from '../wiring/GatewayParts.js';
import type { PeerSender } from './PeerLink.js';
import type { DaemonState, PeerDescription, PeerMessage } from './PeerMessage.js';

/** Steps of the told load in a unit of capacity. */
const LOAD_PRECISION = 100;

export default class LocalDaemon {
  private daemonState: DaemonState = 'starting';

  private isCutOff = false;

  private readonly incarnation: number;

  constructor(private readonly options: GatewayOptions) {
    this.incarnation = options.clock.wallNow();
  }

  public describe(): PeerDescription {
    const { name, peerAddress, callerAddress, relayAddress, zone, region, capacity } = this.options;
    const { incarnation, daemonState: state, isCutOff } = this;
    return {
      name,
      incarnation,
      address: peerAddress,
      callerAddress,
      relayAddress,
      zone,
      region,
      state,
      ...(isCutOff ? { isCutOff } : {}),
      authorizesCallers: true,
      capacity,
    };
  }

  public createHello(
    wantsReply: boolean,
    wantsPeers = false,
  ): Extract<PeerMessage, { kind: 'hello' }> {
    return { kind: 'hello', sender: this.describe(), wantsReply, wantsPeers };
  }

  public createHeartbeat(
    sharedState: SharedState,
  ): Omit<Extract<PeerMessage, { kind: 'beat' }>, 'pauseMilliseconds'> {
    const isEntry = sharedState.directory.isEntry();
    return {
      kind: 'beat',
      sender: this.options.name,
      incarnation: this.incarnation,
      state: this.daemonState,
      isCutOff: this.isCutOff,
      versions: sharedState.state.versions(),
      outstanding: sharedState.outstanding.listOwn(),
      unhealthy: isEntry ? sharedState.targets.unhealthyTargets() : [],
      rateLimits: isEntry ? sharedState.rateLimits.reports() : [],
      leavingTargets: isEntry ? sharedState.leavingTargets.reports() : [],
      callerLoad: Math.round(sharedState.callerLoad.current() * LOAD_PRECISION) / LOAD_PRECISION,
    };
  }

  /** Whether callers may be directed here; the first time this holds, the members are notified. */
  public checkReady({ state, members }: SharedState, link: PeerSender): boolean {
    if (this.daemonState === 'starting' && state.isComplete) this.setState('ready', members, link);
    return this.daemonState === 'ready';
  }

  /** From now on no caller is directed here. */
  public beginShutdown(members: FleetMembers, link: PeerSender): void {
    this.setState('leaving', members, link);
  }

  /** Tells the members whether this daemon is cut off from all targets. */
  public announceCutOff(isCutOff: boolean, members: FleetMembers, link: PeerSender): void {
    this.isCutOff = isCutOff;
    link.send(members.liveAddresses(), this.createHello(false));
  }

  private setState(state: DaemonState, members: FleetMembers, link: PeerSender): void {
    this.daemonState = state;
    link.send(members.liveAddresses(), this.createHello(false));
  }
}
