/**
 * SWIM membership (Das, Gupta, Motivala 2002): each daemon probes one other per period, asks some
 * others to probe on its behalf when it gets no answer, and piggybacks member updates on its
 * messages. The cost per daemon does not grow with the fleet.
 */
import type { Clock, Counters, Host, Logger, Random, Stop } from '@cactusrun/core';
import { EventChannel, pickOne, repeatUntilAborted, shuffle, startTask } from '@cactusrun/core';
import type { MemberMessage } from '@cactusrun/protocol';
import type { Member, MemberState } from './Member.js';
import { fromUpdate } from './Member.js';
import {
  GONE_MEMBER_RETENTION_MILLISECONDS,
  ISOLATION_TIMEOUT_MILLISECONDS,
  REJOIN_PERIOD_MILLISECONDS,
  SUSPICION_MINIMUM_MILLISECONDS,
  SUSPICION_PER_DECADE_MILLISECONDS,
  UPDATE_FANOUT,
} from './MembershipConstants.js';
import type { MessageKind } from './MemberMessenger.js';
import MemberMessenger from './MemberMessenger.js';
import type { ProbeResult } from './MemberProber.js';
import MemberProber from './MemberProber.js';
import MemberTable from './MemberTable.js';
import type { MemberTransport } from './MemberTransport.js';
import ReachabilityTable from './ReachabilityTable.js';
import UpdateQueue from './UpdateQueue.js';

export interface MembershipOptions {
  readonly self: Host;
  /** Heartbeat addresses to contact first, such as those of the platform's host list. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: MemberTransport;
  readonly counters: Counters;
  readonly logger: Logger;
}

type Handler = (message: MemberMessage, sender: Member) => void;

/**
 * `news`: a member announced a new configuration, or that it leaves. `replaced`: a newer daemon has
 * this one's name.
 */
export interface MembershipEvent {
  readonly kind: 'members-changed' | 'replaced' | 'news';
  readonly member: Member;
}

const GONE_STATES: readonly MemberState[] = ['dead', 'leaving'];

export default class Membership {
  private readonly table = new MemberTable();

  private readonly queue = new UpdateQueue();

  private readonly channel = new EventChannel<MembershipEvent>();

  private readonly reachability: ReachabilityTable;

  private readonly messenger: MemberMessenger;

  private readonly prober: MemberProber;

  /** By name: cancels the timer after which a suspect member is declared dead. */
  private readonly suspicionTimers = new Map<string, () => void>();

  /** By name: monotonic time at which a member was found to be dead or leaving. */
  private readonly goneSince = new Map<string, number>();

  private self: Member;

  private lastReceivedAt: number;

  private readonly handlers: Readonly<Record<MessageKind, Handler>> = {
    ping: (message, sender) => this.messenger.sendTo(sender, 'acknowledge', message.sequence),
    acknowledge: (message) => this.prober.resolveProbe(message.sequence),
    'probe-for-me': (message, sender) =>
      this.prober.probeFor(message.subjectAddress, () =>
        this.messenger.sendTo(sender, 'probed-for-you', message.sequence),
      ),
    'probed-for-you': (message) => this.prober.resolveProbe(message.sequence),
    join: (_, sender) => this.sendMembersTo(sender),
    members: () => {},
    news: (_, sender) => this.channel.publish({ kind: 'news', member: sender }),
  };

  constructor(private readonly options: MembershipOptions) {
    const { clock, counters, logger, self, transport } = options;
    this.self = {
      host: self,
      version: clock.wallNow(),
      state: 'alive',
      configurationOffset: -1,
      loadPercent: 0,
    };
    this.lastReceivedAt = clock.now();
    this.table.merge(this.self);
    this.reachability = new ReachabilityTable(counters, logger);
    this.messenger = new MemberMessenger({
      transport,
      queue: this.queue,
      counters,
      self: () => this.self,
      memberCount: () => this.table.size,
      isUnreached: (name) => this.reachability.isUnreached(name),
    });
    this.prober = new MemberProber({
      ...options,
      messenger: this.messenger,
      others: () => this.others(),
      isIsolated: () => this.isIsolated,
      onResult: (member, result) => this.handleProbeResult(member, result),
    });
    transport.listen((message) => this.receive(message));
  }

  /** Joins the fleet and probes members until the returned function is called. */
  public start(): Stop {
    const { clock, random, logger } = this.options;
    const logFailure = (error: unknown) =>
      logger.warn('membership-failed', { error: String(error) });
    this.join();
    const stopProbing = startTask(
      (signal) => repeatUntilAborted(signal, () => this.prober.probeOnce(signal)),
      logFailure,
    );
    const stopRejoining = startTask(
      (signal) =>
        repeatUntilAborted(signal, async () => {
          await clock.sleep(REJOIN_PERIOD_MILLISECONDS * (0.9 + 0.2 * random.unit()), signal);
          if (!signal.aborted) this.rejoinOne();
        }),
      logFailure,
    );
    return async () => {
      await Promise.all([stopProbing(), stopRejoining()]);
      this.suspicionTimers.forEach((cancel) => cancel());
    };
  }

  /** Calls the listener for each event; returns a function that unsubscribes it. */
  public listen(listener: (event: MembershipEvent) => void): () => void {
    return this.channel.listen(listener);
  }

  /** All known members in any state, including this daemon. */
  public members(): readonly Member[] {
    return this.table.all();
  }

  /** The members that may get new work. */
  public serving(): readonly Member[] {
    return this.table.all().filter(({ state }) => !GONE_STATES.includes(state));
  }

  /** The member with that incarnation, if it is known and not dead. */
  public findIncarnation(incarnation: string): Member | undefined {
    return this.table
      .all()
      .find((member) => member.host.incarnation === incarnation && member.state !== 'dead');
  }

  /** Whether this daemon and the member receive each other's messages, as far as known. */
  public isReachable(name: string): boolean {
    return this.reachability.isReachable(name);
  }

  /** Whether this daemon received nothing for so long that it considers itself isolated. */
  public get isIsolated(): boolean {
    const silence = this.options.clock.now() - this.lastReceivedAt;
    return silence > ISOLATION_TIMEOUT_MILLISECONDS && this.others().length > 0;
  }

  /** Announces this daemon's configuration and load with its next messages. */
  public announce(status: {
    readonly configurationOffset: number;
    readonly loadPercent: number;
  }): void {
    const hasNewConfiguration = status.configurationOffset > this.self.configurationOffset;
    this.self = { ...this.self, ...status };
    this.table.merge(this.self);
    if (!hasNewConfiguration) return;
    shuffle(this.options.random, this.others())
      .slice(0, UPDATE_FANOUT)
      .forEach((member) => this.messenger.sendTo(member, 'news'));
  }

  /** Announces to all members that this daemon leaves and takes no new work. */
  public announceLeaving(): void {
    this.updateOwnState('leaving');
    this.others().forEach((member) => this.messenger.sendTo(member, 'news'));
  }

  private others(): readonly Member[] {
    return this.serving().filter((member) => member.host.name !== this.self.host.name);
  }

  private join(): void {
    this.options
      .seeds()
      .filter((address) => address !== this.self.host.heartbeatAddress)
      .forEach((address) => this.messenger.send({ kind: 'join', address }));
  }

  /** Contacts one seed or dead member that is not serving: a partition may have healed. */
  private rejoinOne(): void {
    this.removeGoneMembers();
    const dead = this.table.all().filter(({ state }) => state === 'dead');
    const known = new Set(this.others().map((member) => member.host.heartbeatAddress));
    known.add(this.self.host.heartbeatAddress);
    const candidates = [
      ...this.options.seeds(),
      ...dead.map((member) => member.host.heartbeatAddress),
    ].filter((address) => !known.has(address));
    const address = pickOne(this.options.random, [...new Set(candidates)]);
    if (address !== undefined) this.messenger.send({ kind: 'join', address });
  }

  private removeGoneMembers(): void {
    const now = this.options.clock.now();
    this.goneSince.forEach((since, name) => {
      if (now - since < GONE_MEMBER_RETENTION_MILLISECONDS) return;
      this.goneSince.delete(name);
      this.table.remove(name);
    });
  }

  /** Sends a joining daemon all members, and any dead one of its name, so that it can refute it. */
  private sendMembersTo(sender: Member): void {
    const members = this.table
      .all()
      .filter(({ state, host }) => state !== 'dead' || host.name === sender.host.name);
    this.messenger.sendMembers(sender.host.heartbeatAddress, members);
  }

  private receive(message: MemberMessage): void {
    const sender = message.sender === undefined ? undefined : fromUpdate(message.sender);
    if (sender === undefined || !Object.hasOwn(this.handlers, message.kind)) {
      this.options.counters.add('heartbeat_errors', 'unknown-message');
      return;
    }
    const { name } = sender.host;
    if (name !== this.self.host.name) {
      this.lastReceivedAt = this.options.clock.now();
      this.reachability.recordReport(name, message.hearsNot);
    }
    [sender, ...message.updates.map(fromUpdate)].forEach((update) => {
      if (update !== undefined) this.mergeUpdate(update);
    });
    this.handlers[message.kind as MessageKind](message, sender);
  }

  private mergeUpdate(update: Member): void {
    if (update.host.name === this.self.host.name) {
      this.handleUpdateOfSelf(update);
      return;
    }
    const before = this.table.get(update.host.name);
    const result = this.table.merge(update);
    if (result === 'new' || result === 'changed') this.handleChange(before, update);
  }

  /**
   * Reports a newer daemon of this name; refutes any other wrong update about this daemon with a
   * higher version, which only this daemon issues.
   */
  private handleUpdateOfSelf(update: Member): void {
    const { host, state, version } = this.self;
    const isOtherIncarnation = update.host.incarnation !== host.incarnation;
    if (
      isOtherIncarnation &&
      update.state !== 'dead' &&
      update.host.incarnation > host.incarnation
    ) {
      this.channel.publish({ kind: 'replaced', member: update });
      return;
    }
    const isContradiction = isOtherIncarnation || update.state !== state;
    if (!isContradiction || update.version < version) return;
    this.options.counters.add('members', 'objected');
    this.self = { ...this.self, version: update.version };
    this.updateOwnState(state);
  }

  private updateOwnState(state: MemberState): void {
    this.self = { ...this.self, state, version: this.self.version + 1 };
    this.table.merge(this.self);
    this.queue.push(this.self);
  }

  private handleChange(before: Member | undefined, member: Member): void {
    const { name, incarnation } = member.host;
    this.queue.push(member);
    this.suspicionTimers.get(name)?.();
    this.suspicionTimers.delete(name);
    if (member.state === 'suspect') this.startSuspicionTimer(member);
    if (before?.state === member.state && before.host.incarnation === incarnation) return;
    if (GONE_STATES.includes(member.state)) this.markGone(name);
    else this.goneSince.delete(name);
    this.options.counters.add('members', member.state);
    this.options.logger.info('member', { member: name, state: member.state });
    this.channel.publish({ kind: 'members-changed', member });
  }

  private markGone(name: string): void {
    this.goneSince.set(name, this.options.clock.now());
    this.reachability.remove(name);
  }

  private handleProbeResult(member: Member, result: ProbeResult): void {
    if (result === 'silent') this.markSuspect(member);
    if (result !== 'direct' && result !== 'indirect') return;
    const isChange = this.reachability.recordProbe(member.host.name, result === 'direct');
    if (isChange) this.channel.publish({ kind: 'members-changed', member });
  }

  private markSuspect(member: Member): void {
    const current = this.table.get(member.host.name);
    if (current?.state !== 'alive' || current.version !== member.version) return;
    this.mergeUpdate({ ...current, state: 'suspect' });
  }

  private startSuspicionTimer(member: Member): void {
    const decades = Math.log10(Math.max(1, this.table.size));
    const suspicionMilliseconds =
      SUSPICION_MINIMUM_MILLISECONDS + decades * SUSPICION_PER_DECADE_MILLISECONDS;
    const cancel = this.options.clock.after(suspicionMilliseconds, () => {
      const current = this.table.get(member.host.name);
      if (current?.state !== 'suspect' || current.version !== member.version) return;
      if (this.isIsolated) this.startSuspicionTimer(member);
      else this.mergeUpdate({ ...current, state: 'dead' });
    });
    this.suspicionTimers.set(member.host.name, cancel);
  }
}
