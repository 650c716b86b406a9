/** Probes one other member in each period, first directly, then through other members. */
import type { Clock, Counters, Random } from '@cactusrun/core';
import { shuffle } from '@cactusrun/core';
import type { Member } from './Member.js';
import type MemberMessenger from './MemberMessenger.js';
import {
  DIRECT_PROBE_TIMEOUT_MILLISECONDS,
  INDIRECT_PROBES,
  PROBE_LATENESS_LIMIT_MILLISECONDS,
  PROBE_PERIOD_MILLISECONDS,
} from './MembershipConstants.js';

/** The result of a probe. `doubtful`: no answer, but this daemon ran late or is isolated. */
export type ProbeResult = 'direct' | 'indirect' | 'silent' | 'doubtful';

export interface MemberProberOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly messenger: MemberMessenger;
  readonly others: () => readonly Member[];
  readonly isIsolated: () => boolean;
  readonly onResult: (member: Member, result: ProbeResult) => void;
}

const SEQUENCE_NUMBER_LIMIT = 2 ** 31;

export default class MemberProber {
  private readonly pendingProbes = new Map<number, () => void>();

  private probeOrder: string[] = [];

  private sequence = 0;

  constructor(private readonly options: MemberProberOptions) {}

  /** Probes the next member and waits for the rest of the period. */
  public async probeOnce(signal: AbortSignal): Promise<void> {
    const { clock, random, onResult, counters } = this.options;
    const startedAt = clock.now();
    const member = this.nextMember();
    if (member !== undefined) {
      const result = await this.probe(member, signal);
      if (signal.aborted) return;
      counters.add('probed_members', result);
      onResult(member, result);
    }
    const period = PROBE_PERIOD_MILLISECONDS * (0.9 + 0.2 * random.unit());
    await clock.sleep(Math.max(0, period - (clock.now() - startedAt)), signal);
  }

  /** Probes a member on behalf of another one. */
  public probeFor(subjectAddress: string, onAnswer: () => void): void {
    const sequence = this.nextSequence();
    this.pendingProbes.set(sequence, onAnswer);
    this.options.clock.after(DIRECT_PROBE_TIMEOUT_MILLISECONDS, () =>
      this.pendingProbes.delete(sequence),
    );
    this.options.messenger.send({ kind: 'ping', address: subjectAddress, sequence });
  }

  /** Resolves the pending probe that an answer belongs to. */
  public resolveProbe(sequence: number): void {
    this.pendingProbes.get(sequence)?.();
    this.pendingProbes.delete(sequence);
  }

  private async probe(member: Member, signal: AbortSignal): Promise<ProbeResult> {
    const { clock, isIsolated } = this.options;
    const startedAt = clock.now();
    if (await this.probeDirectly(member, signal)) return 'direct';
    if (await this.probeIndirectly(member, signal)) return 'indirect';
    const isLate =
      clock.now() - startedAt >
      2 * DIRECT_PROBE_TIMEOUT_MILLISECONDS + PROBE_LATENESS_LIMIT_MILLISECONDS;
    return isLate || isIsolated() ? 'doubtful' : 'silent';
  }

  private probeDirectly(member: Member, signal: AbortSignal): Promise<boolean> {
    const sequence = this.nextSequence();
    const answer = this.awaitAnswer(sequence, signal);
    this.options.messenger.sendTo(member, 'ping', sequence);
    return answer;
  }

  private probeIndirectly(member: Member, signal: AbortSignal): Promise<boolean> {
    const { random, others, messenger } = this.options;
    const candidates = others().filter((other) => other.host.name !== member.host.name);
    const sequence = this.nextSequence();
    const answer = this.awaitAnswer(sequence, signal);
    shuffle(random, candidates)
      .slice(0, INDIRECT_PROBES)
      .forEach((helper) => {
        const address = helper.host.heartbeatAddress;
        messenger.send({
          kind: 'probe-for-me',
          address,
          sequence,
          receiver: helper,
          subject: member,
        });
      });
    return answer;
  }

  private awaitAnswer(sequence: number, signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (isAnswered: boolean) => {
        this.pendingProbes.delete(sequence);
        resolve(isAnswered);
      };
      this.pendingProbes.set(sequence, () => finish(true));
      this.options.clock.sleep(DIRECT_PROBE_TIMEOUT_MILLISECONDS, signal).then(() => finish(false));
    });
  }

  private nextMember(): Member | undefined {
    const byName = new Map(this.options.others().map((member) => [member.host.name, member]));
    this.probeOrder = this.probeOrder.filter((name) => byName.has(name));
    if (this.probeOrder.length === 0)
      this.probeOrder = shuffle(this.options.random, [...byName.keys()]);
    const name = this.probeOrder.shift();
    return name === undefined ? undefined : byName.get(name);
  }

  private nextSequence(): number {
    this.sequence = (this.sequence + 1) % SEQUENCE_NUMBER_LIMIT;
    return this.sequence;
  }
}
