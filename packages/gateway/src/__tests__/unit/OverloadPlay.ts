/**
 * Callers with priorities and workspaces, some daemons with their admission of requests and one pool
 * of slots, under a manual clock. A daemon knows the requests of the others with a delay.
 */
import type { Random } from '@cactusrun/core';
import { Counters, createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import RequestAdmission from '../../admission/RequestAdmission.js';
import type { Room } from '../../admission/Room.js';

const REPORT_DELAY_MILLISECONDS = 12;
/** Callers wait as told for at most this share of the time that they have left. */
const LONGEST_RETURN_SHARE = 1 / 3;
/** Requests that the pool holds per slot; more are refused there. */
const HELD_PER_SLOT = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Requests of one kind and workspace. */
export interface Stream {
  readonly workspace: string | undefined;
  readonly priority: number;
  readonly serviceMilliseconds: number;
  readonly objectiveMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly perSecond: (now: number) => number;
}

/** What became of one request of a caller, over all its attempts. */
export interface PlayedRequest {
  readonly stream: Stream;
  readonly bornAt: number;
  refusals: { readonly at: number; readonly waited: number; readonly hadFreeSlots: boolean }[];
  /** Monotonic time of each attempt after a refusal. */
  returns: number[];
  /** Longest wait before it was admitted, in milliseconds. */
  waited: number;
  servedAt: number | undefined;
}

interface PlayOptions {
  readonly slots: number;
  readonly daemons: number;
  readonly seed: number;
}

interface Job {
  readonly daemon: number;
  readonly milliseconds: number;
  readonly finish: () => void;
}

export default class OverloadPlay {
  public readonly clock = new ManualClock();

  public readonly requests: PlayedRequest[] = [];

  public readonly counters = new Counters();

  /** What a daemon has at the pool, and what the others know of it. */
  private readonly own: number[];

  private readonly told: number[];

  private readonly queue: Job[] = [];

  private busy = 0;

  private readonly random: Random;

  private readonly admissions: readonly RequestAdmission[];

  constructor(
    private readonly options: PlayOptions,
    private readonly streams: readonly Stream[],
  ) {
    const indices = Array.from({ length: options.daemons }, (_, index) => index);
    this.random = createRandom(options.seed);
    this.own = indices.map(() => 0);
    this.told = indices.map(() => 0);
    this.admissions = indices.map((index) => this.createAdmission(index));
  }

  /** Requests are born for this long; then all of them end. */
  public async play(milliseconds: number): Promise<readonly PlayedRequest[]> {
    this.streams.forEach((stream) => this.planBirth(stream, milliseconds));
    await this.clock.advance(milliseconds + 30_000);
    return this.requests;
  }

  private createAdmission(index: number): RequestAdmission {
    return new RequestAdmission({
      rooms: {
        roomOf: () => this.roomFor(index),
        hasFreeSlot: () => this.roomFor(index).freeSlots > 0,
      },
      clock: this.clock,
      random: this.random,
      counters: this.counters,
      logger: silentLogger,
    });
  }

  private roomFor(index: number): Room {
    const { slots } = this.options;
    const others = this.told.reduce((sum, count, other) => sum + (other === index ? 0 : count), 0);
    const outstanding = others + this.own[index]!;
    return {
      slots,
      outstanding,
      freeSlots: Math.max(0, slots - outstanding),
      remoteFreeSlots: 0,
      ownOutstanding: this.own[index]!,
      serviceMilliseconds: this.meanServiceMilliseconds(),
      isOpen: false,
    };
  }

  /** Mean over what is asked now. */
  private meanServiceMilliseconds(): number {
    const now = this.clock.now();
    const rate = this.streams.reduce((sum, { perSecond }) => sum + perSecond(now), 0);
    const work = this.streams.reduce(
      (sum, { perSecond, serviceMilliseconds }) => sum + perSecond(now) * serviceMilliseconds,
      0,
    );
    return rate === 0 ? 300 : work / rate;
  }

  private planBirth(stream: Stream, until: number): void {
    const rate = stream.perSecond(this.clock.now());
    const pause = this.random.exponential(MILLISECONDS_PER_SECOND / Math.max(rate, 0.01));
    this.clock.after(pause, () => {
      if (this.clock.now() >= until) return;
      this.planBirth(stream, until);
      const request: PlayedRequest = {
        stream,
        bornAt: this.clock.now(),
        refusals: [],
        returns: [],
        waited: 0,
        servedAt: undefined,
      };
      this.requests.push(request);
      this.attempt(request).catch(() => {});
    });
  }

  private async attempt(request: PlayedRequest): Promise<void> {
    const daemon = this.random.below(this.options.daemons);
    const startedAt = this.clock.now();
    const { stream, bornAt } = request;
    const deadline = bornAt + stream.deadlineMilliseconds;
    const result = await this.admissions[daemon]!.admit({
      id: 'a',
      service: 's',
      priority: stream.priority,
      workspace: stream.workspace,
      objectiveMilliseconds: stream.objectiveMilliseconds,
      deadline,
      signal: new AbortController().signal,
    });
    const waited = this.clock.now() - startedAt;
    request.waited = Math.max(request.waited, waited);
    if (result.kind === 'admitted') this.send(request, daemon, deadline);
    if (result.kind !== 'refused') return;
    const hadFreeSlots = this.roomFor(daemon).freeSlots > 0;
    request.refusals.push({ at: this.clock.now(), waited, hadFreeSlots });
    this.planReturn(request, deadline, result.freeInMilliseconds);
  }

  private planReturn(request: PlayedRequest, deadline: number, freeIn: number): void {
    const longest = (deadline - this.clock.now()) * LONGEST_RETURN_SHARE;
    if (longest < request.stream.serviceMilliseconds) return;
    this.clock.after(Math.min(freeIn, longest), () => {
      request.returns.push(this.clock.now());
      this.attempt(request).catch(() => {});
    });
  }

  private send(request: PlayedRequest, daemon: number, deadline: number): void {
    if (this.busy + this.queue.length >= this.options.slots * HELD_PER_SLOT) return;
    this.count(daemon, 1);
    const milliseconds = request.stream.serviceMilliseconds * (0.8 + 0.4 * this.random.unit());
    const finish = () => {
      if (this.clock.now() <= deadline) request.servedAt = this.clock.now();
    };
    this.queue.push({ daemon, milliseconds, finish });
    this.start();
  }

  private start(): void {
    if (this.busy >= this.options.slots) return;
    const job = this.queue.shift();
    if (job === undefined) return;
    this.busy += 1;
    this.clock.after(job.milliseconds, () => {
      this.busy -= 1;
      job.finish();
      this.count(job.daemon, -1);
      this.start();
      this.admissions[job.daemon]!.recheck('s');
    });
  }

  private count(daemon: number, change: number): void {
    this.own[daemon]! += change;
    this.clock.after(REPORT_DELAY_MILLISECONDS, () => {
      this.told[daemon]! += change;
    });
  }
}

/** Share of the requests that were served, from 0 to 1. */
export function servedShare(requests: readonly PlayedRequest[]): number {
  return requests.filter(({ servedAt }) => servedAt !== undefined).length / requests.length;
}
