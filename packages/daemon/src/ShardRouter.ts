/**
 * Chooses the shard for a request and goes on to another one after a refusal that is proved not to
 * have run. Retries of requests that may have run are the keeper's alone; only a lookup whose
 * keeper was lost is sent once more from here.
 */
import type { Clock, Counters, Host, OutcomeReason, Random } from '@cactusrun/core';
import type { Shard } from '@cactusrun/placement';
import type { Attempt, AttemptResult, ShardLoad } from '@cactusrun/requests';
import { refusal } from '@cactusrun/requests';
import type ShardRegistry from './ShardRegistry.js';

/** What a shard told is used for this long. */
const HINT_MILLISECONDS = 1_000;
const MAXIMUM_SHARDS = 3;

/** Refusals after which another shard may still take the request. */
const ELSEWHERE: ReadonlySet<OutcomeReason> = new Set<OutcomeReason>([
  'queue-full',
  'queue-deadline',
  'order-window-full',
  'no-target',
  'keeper-unreachable',
  'keeper-changed',
  'keeper-doubts-itself',
  'stopping',
  'connect-failed',
  'target-shed',
]);

/** Refusals that pass when this daemon has learnt where the shards are kept now. */
const MOVED: ReadonlySet<OutcomeReason> = new Set<OutcomeReason>([
  'stopping',
  'keeper-changed',
  'keeper-unreachable',
  'keeper-doubts-itself',
]);
const MOVED_WAIT_MILLISECONDS = 100;
const MAXIMUM_ROUNDS = 20;

interface Hint extends ShardLoad {
  readonly at: number;
}

/** Reaches the keeper of a shard; gRPC stands behind it in the daemon, fakes in tests. */
export interface KeeperCaller {
  attempt(keeper: Host, attempt: Attempt): Promise<AttemptResult>;
}

export interface ShardRouterOptions {
  readonly registry: ShardRegistry;
  readonly gateway: KeeperCaller;
  /** The serving member of that name, if this daemon can reach it. */
  readonly findHost: (name: string) => Host | undefined;
  /** Whether this daemon and that member hear one another, as far as is known. */
  readonly isReachable: (name: string) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
}

type AttemptForShard = (shard: Shard) => Attempt;

export default class ShardRouter {
  private readonly hints = new Map<string, Hint>();

  constructor(private readonly options: ShardRouterOptions) {}

  /**
   * Runs a request at one of the service's shards.
   *
   * @param isConsumed - whether a long body was begun, so that it cannot be sent again
   */
  public async run(
    service: string,
    attemptFor: AttemptForShard,
    isConsumed: () => boolean,
  ): Promise<AttemptResult> {
    return this.runRound(service, attemptFor, isConsumed, 1);
  }

  private async runRound(
    service: string,
    attemptFor: AttemptForShard,
    isConsumed: () => boolean,
    round: number,
  ): Promise<AttemptResult> {
    const { clock, counters } = this.options;
    const shards = this.rank(this.options.registry.shardsOf(service)).slice(0, MAXIMUM_SHARDS);
    const [first, ...rest] = shards;
    if (first === undefined) return refusal('no-target', service);
    const result = await this.tryShards(first, rest, attemptFor, isConsumed);
    const isMoved = result.kind === 'refused' && MOVED.has(result.reason);
    const { deadline, signal } = attemptFor(first);
    const hasTime = clock.now() + MOVED_WAIT_MILLISECONDS < deadline && !signal.aborted;
    if (!isMoved || !hasTime || isConsumed() || round >= MAXIMUM_ROUNDS) return result;
    counters.add('retries', 'shard-moved');
    await clock.sleep(MOVED_WAIT_MILLISECONDS, signal);
    return this.runRound(service, attemptFor, isConsumed, round + 1);
  }

  private async tryShards(
    shard: Shard,
    rest: readonly Shard[],
    attemptFor: AttemptForShard,
    isConsumed: () => boolean,
  ): Promise<AttemptResult> {
    const attempt = attemptFor(shard);
    const result = await this.tryShard(shard, attempt);
    if (result.kind === 'answered') return result;
    const [next, ...others] = rest;
    const isPossible =
      next !== undefined &&
      !isConsumed() &&
      !attempt.signal.aborted &&
      this.options.clock.now() < attempt.deadline;
    if (!isPossible || !mayGoOn(result.reason, attempt)) return result;
    this.options.counters.add('retries', result.reason);
    return this.tryShards(next, others, attemptFor, isConsumed);
  }

  private async tryShard(shard: Shard, attempt: Attempt): Promise<AttemptResult> {
    const { registry, gateway, findHost, clock } = this.options;
    const name = registry.keeperOf(shard);
    const host = name === undefined ? undefined : findHost(name);
    if (host === undefined) return refusal('keeper-unreachable', name ?? 'no members');
    const result = await gateway.attempt(host, attempt);
    if (result.load !== undefined) this.hints.set(shard.id, { ...result.load, at: clock.now() });
    return result;
  }

  /** The shards in random order, the freer the likelier first, the doubtful and the unreachable last. */
  private rank(shards: readonly Shard[]): readonly Shard[] {
    return shards
      .map((shard) => ({ shard, rank: this.rankOf(shard) }))
      .sort((left, right) => right.rank - left.rank)
      .map(({ shard }) => shard);
  }

  private rankOf(shard: Shard): number {
    const { clock, random, registry, isReachable } = this.options;
    const keeper = registry.keeperOf(shard);
    if (keeper !== undefined && !isReachable(keeper)) return -1 - random.unit();
    const hint = this.hints.get(shard.id);
    const isFresh = hint !== undefined && clock.now() - hint.at < HINT_MILLISECONDS;
    if (!isFresh) return shard.targets.length * random.unit();
    if (hint.isDoubtful) return -random.unit();
    const weight = (shard.targets.length * (hint.freeSlots + 1)) / (hint.queued + 1);
    return weight * random.unit();
  }
}

function mayGoOn(reason: OutcomeReason, attempt: Attempt): boolean {
  if (ELSEWHERE.has(reason)) return true;
  const isLookup = attempt.requestClass === 'idempotent' && attempt.body.isWhole;
  return isLookup && reason === 'keeper-lost';
}
