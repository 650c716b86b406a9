/** This daemon as its peers see it: who it is, whether it serves, what it knows. */
import type FleetMembers from './FleetMembers.js';
import type { GatewayOptions } from './GatewayOptions.js';
import type { Knowledge } from './GatewayParts.js';
import type { PeerSender } from './PeerLink.js';
import type { DaemonState, PeerDescription, PeerMessage } from './PeerMessage.js';

export default class LocalDaemon {
  private daemonState: DaemonState = 'starting';

  private readonly incarnation: number;

  constructor(private readonly options: GatewayOptions) {
    this.incarnation = options.clock.wallNow();
  }

  public describe(): PeerDescription {
    const { name, peerAddress, callerAddress, zone, region, capacity } = this.options;
    const { incarnation, daemonState: state } = this;
    return {
      name,
      incarnation,
      address: peerAddress,
      callerAddress,
      zone,
      region,
      state,
      capacity,
    };
  }

  public hello(wantsReply: boolean): Extract<PeerMessage, { kind: 'hello' }> {
    return { kind: 'hello', sender: this.describe(), wantsReply };
  }

  public beat(
    knowledge: Knowledge,
    isEntry: boolean,
  ): Omit<Extract<PeerMessage, { kind: 'beat' }>, 'pauseMilliseconds'> {
    return {
      kind: 'beat',
      sender: this.options.name,
      incarnation: this.incarnation,
      state: this.daemonState,
      versions: knowledge.state.versions(),
      outstanding: knowledge.outstanding.listOwn(),
      sick: isEntry ? knowledge.targets.sick() : [],
    };
  }

  /** Whether callers may be sent here; the first time that is so, the members are told. */
  public checkReady({ state, members }: Knowledge, link: PeerSender): boolean {
    if (this.daemonState === 'starting' && state.isComplete) this.become('ready', members, link);
    return this.daemonState === 'ready';
  }

  /** From now on no caller is sent here. */
  public beginLeaving(members: FleetMembers, link: PeerSender): void {
    this.become('leaving', members, link);
  }

  private become(state: DaemonState, members: FleetMembers, link: PeerSender): void {
    this.daemonState = state;
    link.send(members.liveAddresses(), this.hello(false));
  }
}
