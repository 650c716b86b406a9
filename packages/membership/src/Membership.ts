/**
 * Membership between daemons in the manner of SWIM (Das, Gupta, Motivala 2002): each probes one
 * other per period, asks some to probe in its place when it gets no answer, and passes statements
 * on with its messages. The cost of a daemon does not grow with the fleet.
 */
import type { Clock, Counters, Host, Logger, Random, Stop } from '@cactusrun/core';
import { EventChannel, pickOne, repeatUntilAborted, shuffle, startTask } from '@cactusrun/core';
import type { MemberMessage } from '@cactusrun/protocol';
import type { Member, MemberState } from './Member.js';
import { fromUpdate } from './Member.js';
import {
  FORGET_MILLISECONDS,
  NEWS_FANOUT,
  REJOIN_PERIOD_MILLISECONDS,
  SILENCE_MILLISECONDS,
  SUSPICION_MINIMUM_MILLISECONDS,
  SUSPICION_PER_DECADE_MILLISECONDS,
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
  /** Heartbeat addresses to try first, such as those of the platform's host list. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: MemberTransport;
  readonly counters: Counters;
  readonly logger: Logger;
}

type Handler = (message: MemberMessage, sender: Member) => void;

/** What a listener is told. `replaced`: a newer daemon has this one's name. */
export interface MembershipEvent {
  readonly kind: 'members-changed' | 'replaced' | 'news';
  readonly member: Member;
}

const GONE: readonly MemberState[] = ['dead', 'leaving'];

export default class Membership {
  private readonly table = new MemberTable();

  private readonly queue = new UpdateQueue();

  private readonly channel = new EventChannel<MembershipEvent>();

  private readonly reachability: ReachabilityTable;

  private readonly messenger: MemberMessenger;

  private readonly prober: MemberProber;

  /** Ends the wait before a suspect member is taken to be dead. */
  private readonly suspicions = new Map<string, () => void>();

  /** Monotonic time at which a member was seen to be dead or leaving. */
  private readonly goneSince = new Map<string, number>();

  private self: Member;

  private lastHeard: number;

  private readonly handlers: Readonly<Record<MessageKind, Handler>> = {
    ping: (message, sender) => this.messenger.sendTo(sender, 'acknowledge', message.sequence),
    acknowledge: (message) => this.prober.settle(message.sequence),
    'probe-for-me': (message, sender) =>
      this.prober.probeFor(message.subjectAddress, () =>
        this.messenger.sendTo(sender, 'probed-for-you', message.sequence),
      ),
    'probed-for-you': (message) => this.prober.settle(message.sequence),
    join: (_, sender) => this.welcome(sender),
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
    this.lastHeard = clock.now();
    this.table.merge(this.self);
    this.reachability = new ReachabilityTable(counters, logger);
    this.messenger = new MemberMessenger({
      transport,
      queue: this.queue,
      counters,
      self: () => this.self,
      memberCount: () => this.table.size,
      isDeafTo: (name) => this.reachability.isUnreached(name),
    });
    this.prober = new MemberProber({
      ...options,
      messenger: this.messenger,
      others: () => this.others(),
      isIsolated: () => this.isIsolated,
      onResult: (member, result) => this.noteProbe(member, result),
    });
    transport.listen((message) => this.receive(message));
  }

  /** Joins the fleet and probes until the returned function is called. */
  public start(): Stop {
    const { clock, random, logger } = this.options;
    const fail = (error: unknown) => logger.warn('membership-failed', { error: String(error) });
    this.join();
    const stopProbing = startTask(
      (signal) => repeatUntilAborted(signal, () => this.prober.probeOnce(signal)),
      fail,
    );
    const stopRejoining = startTask(
      (signal) =>
        repeatUntilAborted(signal, async () => {
          await clock.sleep(REJOIN_PERIOD_MILLISECONDS * (0.9 + 0.2 * random.unit()), signal);
          if (!signal.aborted) this.rejoinOne();
        }),
      fail,
    );
    return async () => {
      await Promise.all([stopProbing(), stopRejoining()]);
      this.suspicions.forEach((cancel) => cancel());
    };
  }

  /** Calls the listener on each change; returns a function that ends it. */
  public listen(listener: (event: MembershipEvent) => void): () => void {
    return this.channel.listen(listener);
  }

  /** Every member known, in any state, this daemon included. */
  public members(): readonly Member[] {
    return this.table.all();
  }

  /** The members that may be given new work. */
  public serving(): readonly Member[] {
    return this.table.all().filter(({ state }) => !GONE.includes(state));
  }

  /** The member of that incarnation, if it is known and not dead. */
  public findIncarnation(incarnation: string): Member | undefined {
    return this.table
      .all()
      .find((member) => member.host.incarnation === incarnation && member.state !== 'dead');
  }

  /** Whether this daemon and the member hear one another, as far as is known. */
  public isReachable(name: string): boolean {
    return this.reachability.isReachable(name);
  }

  /** Whether this daemon has heard from nobody for so long that it must doubt itself. */
  public get isIsolated(): boolean {
    const silence = this.options.clock.now() - this.lastHeard;
    return silence > SILENCE_MILLISECONDS && this.others().length > 0;
  }

  /** Tells the members of this daemon's configuration and load with the next messages. */
  public tell(facts: { readonly configurationOffset: number; readonly loadPercent: number }): void {
    const hasNews = facts.configurationOffset > this.self.configurationOffset;
    this.self = { ...this.self, ...facts };
    this.table.merge(this.self);
    if (!hasNews) return;
    shuffle(this.options.random, this.others())
      .slice(0, NEWS_FANOUT)
      .forEach((member) => this.messenger.sendTo(member, 'news'));
  }

  /** Tells everybody that this daemon leaves: it takes no new work from now on. */
  public announceLeaving(): void {
    this.restate('leaving');
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

  /** Tries one seed or dead member that is not among the living: a partition may have healed. */
  private rejoinOne(): void {
    this.forgetGone();
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

  private forgetGone(): void {
    const now = this.options.clock.now();
    this.goneSince.forEach((since, name) => {
      if (now - since < FORGET_MILLISECONDS) return;
      this.goneSince.delete(name);
      this.table.remove(name);
    });
  }

  /** Tells a newcomer of all members, and what is held of itself, so that it can object. */
  private welcome(sender: Member): void {
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
      this.lastHeard = this.options.clock.now();
      this.reachability.noteStatement(name, message.hearsNot);
    }
    [sender, ...message.updates.map(fromUpdate)].forEach((update) => {
      if (update !== undefined) this.mergeStatement(update);
    });
    this.handlers[message.kind as MessageKind](message, sender);
  }

  private mergeStatement(update: Member): void {
    if (update.host.name === this.self.host.name) {
      this.hearOfSelf(update);
      return;
    }
    const before = this.table.get(update.host.name);
    const result = this.table.merge(update);
    if (result === 'new' || result === 'changed') this.noteChange(before, update);
  }

  /** Answers what others say of this daemon: it alone states its own version. */
  private hearOfSelf(update: Member): void {
    const { host, state, version } = this.self;
    const isOther = update.host.incarnation !== host.incarnation;
    if (isOther && update.state !== 'dead' && update.host.incarnation > host.incarnation) {
      this.channel.publish({ kind: 'replaced', member: update });
      return;
    }
    const isAgainst = isOther || update.state !== state;
    if (!isAgainst || update.version < version) return;
    this.options.counters.add('members', 'objected');
    this.self = { ...this.self, version: update.version };
    this.restate(state);
  }

  private restate(state: MemberState): void {
    this.self = { ...this.self, state, version: this.self.version + 1 };
    this.table.merge(this.self);
    this.queue.push(this.self);
  }

  private noteChange(before: Member | undefined, member: Member): void {
    const { name, incarnation } = member.host;
    this.queue.push(member);
    this.suspicions.get(name)?.();
    this.suspicions.delete(name);
    if (member.state === 'suspect') this.awaitDeath(member);
    if (before?.state === member.state && before.host.incarnation === incarnation) return;
    if (GONE.includes(member.state)) this.noteGone(name);
    else this.goneSince.delete(name);
    this.options.counters.add('members', member.state);
    this.options.logger.info('member', { member: name, state: member.state });
    this.channel.publish({ kind: 'members-changed', member });
  }

  private noteGone(name: string): void {
    this.goneSince.set(name, this.options.clock.now());
    this.reachability.forget(name);
  }

  private noteProbe(member: Member, result: ProbeResult): void {
    if (result === 'silent') this.suspect(member);
    if (result !== 'direct' && result !== 'indirect') return;
    const isChange = this.reachability.noteProbe(member.host.name, result === 'direct');
    if (isChange) this.channel.publish({ kind: 'members-changed', member });
  }

  private suspect(member: Member): void {
    const current = this.table.get(member.host.name);
    if (current?.state !== 'alive' || current.version !== member.version) return;
    this.mergeStatement({ ...current, state: 'suspect' });
  }

  private awaitDeath(member: Member): void {
    const decades = Math.log10(Math.max(1, this.table.size));
    const wait = SUSPICION_MINIMUM_MILLISECONDS + decades * SUSPICION_PER_DECADE_MILLISECONDS;
    const cancel = this.options.clock.after(wait, () => {
      const current = this.table.get(member.host.name);
      if (current?.state !== 'suspect' || current.version !== member.version) return;
      if (this.isIsolated) this.awaitDeath(member);
      else this.mergeStatement({ ...current, state: 'dead' });
    });
    this.suspicions.set(member.host.name, cancel);
  }
}
