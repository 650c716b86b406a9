/** A daemon that follows a store in memory, for tests with several of them. */
import type { ManualClock, Stop } from '@cactusrun/core';
import { CactusrunError, createRandom, silentLogger } from '@cactusrun/core';
import FleetMembers from '../../fleet/FleetMembers.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import type { GatewayConfiguration } from '../../state/GatewayConfiguration.js';
import type { StateSnapshot } from '../../state/GatewayState.js';
import GatewayState from '../../state/GatewayState.js';
import StateFollower from '../../state/StateFollower.js';
import type { TargetChange } from '../../state/TargetEntry.js';
import TargetTable from '../../state/TargetTable.js';
import MemoryStore from './MemoryStore.js';
import createPeerDescription from './createPeerDescription.js';

function decode(document: string): GatewayConfiguration {
  const limits = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };
  return { version: Number(document), limits, routes: new Map(), workspaces: undefined };
}

export default class FollowerFixture {
  /** The store as this daemon reaches it. */
  public readonly store = new MemoryStore();

  public readonly state: GatewayState;

  public readonly table: TargetTable;

  /** Daemons that get the updates of this one. */
  public recipients: readonly FollowerFixture[] = [];

  /** The daemon whose state this one fetches; none answers if undefined. */
  public stateSource: FollowerFixture | undefined;

  private readonly members: FleetMembers;

  private readonly follower: StateFollower;

  /** @param log - the registry, which the stores of several daemons share */
  constructor(
    private readonly name: string,
    log: TargetChange[],
    private readonly clock: ManualClock,
  ) {
    this.store.log = log;
    this.table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    this.state = new GatewayState(decode, this.table, clock, silentLogger, () => {});
    const self = () => createPeerDescription(name);
    this.members = new FleetMembers(self, clock, silentLogger, () => {});
    this.follower = new StateFollower({
      store: this.store,
      state: this.state,
      members: this.members,
      link: { send: (_addresses, message) => this.announce(message) },
      fetchState: () => this.fetchState(),
      clock,
      random: createRandom(1),
      logger: silentLogger,
      selfName: name,
      isFleetStart: false,
    });
  }

  public start(): Stop {
    return this.follower.start();
  }

  /** Makes another daemon known to this one. */
  public meet(other: FollowerFixture): void {
    this.members.applyDescription(createPeerDescription(other.name));
  }

  /** Advances the clock until this daemon has read the registry again, and a little further. */
  public async untilRead(): Promise<void> {
    const before = this.store.registryReads;
    const advance = async (): Promise<void> => {
      if (this.store.registryReads > before) return;
      await this.clock.advance(50);
      await advance();
    };
    await advance();
  }

  private announce(message: PeerMessage): boolean {
    this.recipients.forEach(({ follower }) => {
      if (message.kind === 'news') follower.applyUpdate(message);
    });
    return true;
  }

  private async fetchState(): Promise<StateSnapshot> {
    if (this.stateSource === undefined) {
      throw new CactusrunError('no answer', { step: 'fetching state', peer: 'peer' });
    }
    return this.stateSource.state.snapshot([]);
  }
}
