/**
 * Membership between daemons in the manner of SWIM: each probes one other per period, asks some
 * to probe in its place when it gets no answer, and passes statements on with its messages. The
 * cost of a daemon does not grow with the fleet.
 */
import type { Clock, Counters, Host, Logger, Random, Stop } from '@cactusrun/core';
import { EventChannel, pickOne, repeatUntilAborted, shuffle, startTask } from '@cactusrun/core';
import type { MemberMessage } from '@cactusrun/protocol';
import { create, MemberMessageSchema } from '@cactusrun/protocol';
import type { Member, MemberState } from './Member.js';
import { fromUpdate, toUpdate } from './Member.js';
import {
  DIRECT_WAIT_MILLISECONDS,
  FORGET_MILLISECONDS,
  INDIRECT_PROBES,
  LATENESS_MILLISECONDS,
  NEWS_FANOUT,
  PROBE_PERIOD_MILLISECONDS,
  REJOIN_PERIOD_MILLISECONDS,
  SILENCE_MILLISECONDS,
  SUSPICION_MINIMUM_MILLISECONDS,
  SUSPICION_PER_DECADE_MILLISECONDS,
  UPDATES_PER_MESSAGE,
} from './MembershipConstants.js';
import type { MemberTransport } from './MemberTransport.js';
import MemberTable from './MemberTable.js';
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

type MessageKind =
  'ping' | 'acknowledge' | 'probe-for-me' | 'probed-for-you' | 'join' | 'members' | 'news';

type Handler = (message: MemberMessage, sender: Member) => void;

/** What a listener is told when the set of members has changed. */
export interface MembershipEvent {
  readonly kind: 'members-changed' | 'replaced' | 'news';
  readonly member: Member;
}

export default class Membership {
  private readonly table = new MemberTable();

  private readonly queue = new UpdateQueue();

  private readonly channel = new EventChannel<MembershipEvent>();

  private readonly waiting = new Map<number, () => void>();

  private readonly suspicions = new Map<string, () => void>();

  /** Members that others reach but this daemon does not. */
  private readonly unreachable = new Set<string>();

  /** Members that say that they do not hear this daemon. */
  private readonly deafTo = new Set<string>();

  private probeOrder: string[] = [];

  private sequence = 0;

  private self: Member;

  private lastHeard: number;

  private readonly handlers: Readonly<Record<MessageKind, Handler>> = {
    ping: (message, sender) => this.reply(sender, 'acknowledge', message.sequence),
    acknowledge: (message) => this.settle(message.sequence),
    'probe-for-me': (message, sender) => this.probeFor(message, sender),
    'probed-for-you': (message) => this.settle(message.sequence),
    join: (_, sender) => this.sendAllMembers(sender),
    members: () => {},
    news: (_, sender) => this.channel.publish({ kind: 'news', member: sender }),
  };

  constructor(private readonly options: MembershipOptions) {
    const { clock, self } = options;
    this.self = {
      host: self,
      version: clock.wallNow(),
      state: 'alive',
      configurationOffset: -1,
      loadPercent: 0,
    };
    this.lastHeard = clock.now();
    this.table.merge(this.self);
    options.transport.listen((message) => this.receive(message));
  }

  /** Joins the fleet and probes until the returned function is called. */
  public start(): Stop {
    const { clock, logger } = this.options;
    const fail = (error: unknown) => logger.warn('membership-failed', { error: String(error) });
    this.join();
    const stopProbing = startTask(
      (signal) => repeatUntilAborted(signal, () => this.probeOnce(signal)),
      fail,
    );
    const stopRejoining = startTask(
      (signal) =>
        repeatUntilAborted(signal, async () => {
          await clock.sleep(this.spread(REJOIN_PERIOD_MILLISECONDS), signal);
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
    return this.table.all().filter(({ state }) => state === 'alive' || state === 'suspect');
  }

  /** The member of that incarnation, if it is known and not dead. */
  public findIncarnation(incarnation: string): Member | undefined {
    return this.table
      .all()
      .find((member) => member.host.incarnation === incarnation && member.state !== 'dead');
  }

  /** Whether this daemon and the member hear one another, as far as is known. */
  public isReachable(name: string): boolean {
    return !this.unreachable.has(name) && !this.deafTo.has(name);
  }

  /** Whether this daemon has heard from nobody for so long that it must doubt itself. */
  public get isIsolated(): boolean {
    const others = this.serving().filter((member) => member.host.name !== this.self.host.name);
    const silence = this.options.clock.now() - this.lastHeard;
    return others.length > 0 && silence > SILENCE_MILLISECONDS;
  }

  /** Tells the members of this daemon's configuration and load with the next messages. */
  public tell(facts: { readonly configurationOffset: number; readonly loadPercent: number }): void {
    const hasNews = facts.configurationOffset > this.self.configurationOffset;
    this.self = { ...this.self, ...facts };
    this.table.merge(this.self);
    if (!hasNews) return;
    shuffle(this.options.random, this.others())
      .slice(0, NEWS_FANOUT)
      .forEach((member) => this.send(member.host.heartbeatAddress, 'news', 0));
  }

  /** Tells everybody that this daemon leaves: it takes no new work from now on. */
  public announceLeaving(): void {
    this.restate('leaving');
    this.others().forEach((member) => this.send(member.host.heartbeatAddress, 'news', 0));
  }

  private others(): readonly Member[] {
    return this.serving().filter((member) => member.host.name !== this.self.host.name);
  }

  private join(): void {
    this.options
      .seeds()
      .filter((address) => address !== this.self.host.heartbeatAddress)
      .forEach((address) => this.send(address, 'join', 0));
  }

  private rejoinOne(): void {
    const { random, seeds, clock } = this.options;
    this.forgetOld(clock.wallNow());
    const lost = this.table
      .all()
      .filter((member) => member.state === 'dead')
      .map((member) => member.host.heartbeatAddress);
    const known = new Set(this.others().map((member) => member.host.heartbeatAddress));
    const candidates = [...seeds(), ...lost].filter(
      (address) => address !== this.self.host.heartbeatAddress && !known.has(address),
    );
    const chosen = pickOne(random, candidates);
    if (chosen !== undefined) this.send(chosen, 'join', 0);
  }

  private forgetOld(wallNow: number): void {
    this.table
      .all()
      .filter(({ state, version }) => state === 'dead' && wallNow - version > FORGET_MILLISECONDS)
      .forEach((member) => this.table.remove(member.host.name));
  }

  private async probeOnce(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const started = clock.now();
    const member = this.nextToProbe();
    if (member !== undefined) await this.probe(member, signal);
    const rest = this.spread(PROBE_PERIOD_MILLISECONDS) - (clock.now() - started);
    await clock.sleep(Math.max(0, rest), signal);
  }

  private async probe(member: Member, signal: AbortSignal): Promise<void> {
    const { clock, counters } = this.options;
    const started = clock.now();
    if (await this.probeDirectly(member, signal)) {
      this.markReachable(member, true);
      return;
    }
    counters.add('heartbeats', 'no-direct-answer');
    const isAnswered = await this.probeIndirectly(member, signal);
    if (signal.aborted) return;
    const expected = PROBE_PERIOD_MILLISECONDS - DIRECT_WAIT_MILLISECONDS;
    const isLate = clock.now() - started > expected + LATENESS_MILLISECONDS;
    if (isAnswered) this.markReachable(member, false);
    else if (isLate || this.isIsolated) counters.add('heartbeats', 'doubted-itself');
    else this.suspect(member);
  }

  private probeDirectly(member: Member, signal: AbortSignal): Promise<boolean> {
    const sequence = this.nextSequence();
    const answer = this.waitFor(sequence, DIRECT_WAIT_MILLISECONDS, signal);
    this.send(member.host.heartbeatAddress, 'ping', sequence, member);
    return answer;
  }

  private probeIndirectly(member: Member, signal: AbortSignal): Promise<boolean> {
    const helpers = shuffle(
      this.options.random,
      this.others().filter((other) => other.host.name !== member.host.name),
    ).slice(0, INDIRECT_PROBES);
    const sequence = this.nextSequence();
    const answer = this.waitFor(sequence, DIRECT_WAIT_MILLISECONDS, signal);
    helpers.forEach((helper) => {
      this.send(helper.host.heartbeatAddress, 'probe-for-me', sequence, member);
    });
    return answer;
  }

  private probeFor(message: MemberMessage, sender: Member): void {
    const sequence = this.nextSequence();
    this.waiting.set(sequence, () => this.reply(sender, 'probed-for-you', message.sequence));
    this.options.clock.after(DIRECT_WAIT_MILLISECONDS, () => this.waiting.delete(sequence));
    this.send(message.subjectAddress, 'ping', sequence);
  }

  private waitFor(sequence: number, milliseconds: number, signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (isAnswered: boolean) => {
        this.waiting.delete(sequence);
        resolve(isAnswered);
      };
      this.waiting.set(sequence, () => finish(true));
      this.options.clock.sleep(milliseconds, signal).then(() => finish(false));
    });
  }

  private settle(sequence: number): void {
    this.waiting.get(sequence)?.();
    this.waiting.delete(sequence);
  }

  private nextToProbe(): Member | undefined {
    const probed = this.others();
    const byName = new Map(probed.map((member) => [member.host.name, member]));
    this.probeOrder = this.probeOrder.filter((name) => byName.has(name));
    if (this.probeOrder.length === 0) {
      this.probeOrder = shuffle(this.options.random, [...byName.keys()]);
    }
    const name = this.probeOrder.shift();
    return name === undefined ? undefined : byName.get(name);
  }

  private receive(message: MemberMessage): void {
    const sender = message.sender === undefined ? undefined : fromUpdate(message.sender);
    if (sender === undefined || !Object.hasOwn(this.handlers, message.kind)) {
      this.options.counters.add('heartbeat_errors', 'unknown-message');
      return;
    }
    if (sender.host.name !== this.self.host.name) this.lastHeard = this.options.clock.now();
    this.hear(sender, message.hearsNot);
    message.updates
      .map(fromUpdate)
      .filter((update): update is Member => update !== undefined)
      .forEach((update) => this.mergeStatement(update));
    this.handlers[message.kind as MessageKind](message, sender);
  }

  private hear(sender: Member, hearsNot: boolean): void {
    this.mergeStatement(sender);
    const { name } = sender.host;
    if (hearsNot && !this.deafTo.has(name)) {
      this.deafTo.add(name);
      this.options.logger.warn('not-heard-by', { member: name });
      this.options.counters.add('one_way_faults', 'not-heard');
    } else if (!hearsNot) this.deafTo.delete(name);
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
    const isOther = update.host.incarnation !== this.self.host.incarnation;
    if (
      isOther &&
      update.state !== 'dead' &&
      update.host.incarnation > this.self.host.incarnation
    ) {
      this.channel.publish({ kind: 'replaced', member: update });
      return;
    }
    const isAgainst = isOther || update.state !== this.self.state;
    if (!isAgainst || update.version < this.self.version) return;
    this.self = { ...this.self, version: update.version };
    this.restate(this.self.state);
  }

  private restate(state: MemberState): void {
    this.self = { ...this.self, state, version: this.self.version + 1 };
    this.table.merge(this.self);
    this.queue.push(this.self);
  }

  private noteChange(before: Member | undefined, member: Member): void {
    const { name } = member.host;
    this.queue.push(member);
    this.suspicions.get(name)?.();
    this.suspicions.delete(name);
    if (member.state === 'suspect') this.awaitDeath(member);
    const isSame =
      before?.state === member.state && before.host.incarnation === member.host.incarnation;
    if (isSame) return;
    this.options.counters.add('members', member.state);
    this.options.logger.info('member', { member: name, state: member.state });
    if (member.state === 'dead') this.unreachable.delete(name);
    this.channel.publish({ kind: 'members-changed', member });
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

  private markReachable(member: Member, isReachable: boolean): void {
    const { name } = member.host;
    const isChanged = this.unreachable.has(name) === isReachable;
    if (!isChanged) return;
    if (isReachable) this.unreachable.delete(name);
    else this.unreachable.add(name);
    this.options.counters.add('one_way_faults', isReachable ? 'healed' : 'not-reached');
    this.options.logger.warn('direct-path', { member: name, isReachable });
    this.channel.publish({ kind: 'members-changed', member });
  }

  private sendAllMembers(to: Member): void {
    const members = this.table.all().filter((member) => member.state !== 'dead');
    const messages = Math.ceil(members.length / UPDATES_PER_MESSAGE);
    Array.from({ length: messages }, (_, index) =>
      members.slice(index * UPDATES_PER_MESSAGE, (index + 1) * UPDATES_PER_MESSAGE),
    ).forEach((updates) => this.sendUpdates(to.host.heartbeatAddress, updates));
  }

  private sendUpdates(address: string, updates: readonly Member[]): void {
    const message = create(MemberMessageSchema, {
      kind: 'members',
      sender: toUpdate(this.self),
      updates: updates.map(toUpdate),
    });
    this.options.transport.send(address, message);
  }

  private reply(to: Member, kind: MessageKind, sequence: number): void {
    this.send(to.host.heartbeatAddress, kind, sequence, to);
  }

  private send(address: string, kind: MessageKind, sequence: number, about?: Member): void {
    const updates = this.queue.take(UPDATES_PER_MESSAGE, this.table.size);
    const message = create(MemberMessageSchema, {
      kind,
      sequence,
      sender: toUpdate(this.self),
      subject: about?.host.name ?? '',
      subjectAddress: about?.host.heartbeatAddress ?? '',
      updates: updates.map(toUpdate),
      hearsNot: about !== undefined && this.unreachable.has(about.host.name),
    });
    this.options.counters.add('heartbeats', kind);
    this.options.transport.send(address, message);
  }

  private nextSequence(): number {
    this.sequence = (this.sequence + 1) % 2 ** 31;
    return this.sequence;
  }

  /** The duration with a tenth of it up or down, so that daemons do not act in step. */
  private spread(milliseconds: number): number {
    return milliseconds * (0.9 + 0.2 * this.options.random.unit());
  }
}
