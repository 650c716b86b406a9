/**
 * Chooses a shard for each request, and tries another shard after a refusal that proves that the
 * request did not run. A request that may have run is retried only by the keeper (the daemon
 * through which all requests to a shard's targets go), except for an idempotent request whose
 * keeper was lost.
 */
import type { Clock, Counters, Host, OutcomeReason, Random } from '@cactusrun/core';
import type { Shard } from '@cactusrun/placement';
import type { Attempt, AttemptResult, ShardLoad } from '@cactusrun/requests';
import { refusal } from '@cactusrun/requests';
import type ShardRegistry from './ShardRegistry.js';

/** Time for which the load that a shard reported is used. */
const LOAD_HINT_TTL_MILLISECONDS = 1_000;
const MAXIMUM_SHARDS_PER_ROUND = 3;

/** Refusals after which another shard may accept the request. */
const OTHER_SHARD_REASONS: ReadonlySet<OutcomeReason> = new Set<OutcomeReason>([
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

/** Refusals that end once this daemon has received the shards' new keepers. */
const SHARD_MOVED_REASONS: ReadonlySet<OutcomeReason> = new Set<OutcomeReason>([
  'stopping',
  'keeper-changed',
  'keeper-unreachable',
  'keeper-doubts-itself',
]);
const SHARD_MOVED_WAIT_MILLISECONDS = 100;
const MAXIMUM_ROUNDS = 20;

interface LoadHint extends ShardLoad {
  readonly receivedAt: number;
}

/** Sends attempts to a shard's keeper: over gRPC in the daemon, to a fake in tests. */
export interface KeeperConnector {
  attempt(keeper: Host, attempt: Attempt): Promise<AttemptResult>;
}

export interface ShardRouterOptions {
  readonly registry: ShardRegistry;
  readonly gateway: KeeperConnector;
  /** Looks up a serving member by host name. */
  readonly findHost: (name: string) => Host | undefined;
  /** Whether messages pass both ways between this daemon and the named host, as far as is known. */
  readonly isReachable: (name: string) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
}

type AttemptForShard = (shard: Shard) => Attempt;

export default class ShardRouter {
  private readonly hints = new Map<string, LoadHint>();

  constructor(private readonly options: ShardRouterOptions) {}

  /**
   * Runs a request on one of the service's shards.
   *
   * @param isConsumed - whether a long body was partly read, so that the request can't be retried
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
    const shards = this.rank(this.options.registry.shardsOf(service)).slice(
      0,
      MAXIMUM_SHARDS_PER_ROUND,
    );
    const [first, ...rest] = shards;
    if (first === undefined) return refusal('no-target', service);
    const result = await this.tryShards(first, rest, attemptFor, isConsumed);
    const hasMoved = result.kind === 'refused' && SHARD_MOVED_REASONS.has(result.reason);
    const { deadline, signal } = attemptFor(first);
    const hasTime = clock.now() + SHARD_MOVED_WAIT_MILLISECONDS < deadline && !signal.aborted;
    if (!hasMoved || !hasTime || isConsumed() || round >= MAXIMUM_ROUNDS) return result;
    counters.add('retries', 'shard-moved');
    await clock.sleep(SHARD_MOVED_WAIT_MILLISECONDS, signal);
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
    const canTryNext =
      next !== undefined &&
      !isConsumed() &&
      !attempt.signal.aborted &&
      this.options.clock.now() < attempt.deadline;
    if (!canTryNext || !mayTryOtherShard(result.reason, attempt)) return result;
    this.options.counters.add('retries', result.reason);
    return this.tryShards(next, others, attemptFor, isConsumed);
  }

  private async tryShard(shard: Shard, attempt: Attempt): Promise<AttemptResult> {
    const { registry, gateway, findHost, clock } = this.options;
    const name = registry.keeperOf(shard);
    const host = name === undefined ? undefined : findHost(name);
    if (host === undefined) return refusal('keeper-unreachable', name ?? 'no members');
    const result = await gateway.attempt(host, attempt);
    if (result.load !== undefined)
      this.hints.set(shard.id, { ...result.load, receivedAt: clock.now() });
    return result;
  }

  /** Random order weighted by free capacity; doubtful shards, then unreachable ones, come last. */
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
    const isFresh =
      hint !== undefined && clock.now() - hint.receivedAt < LOAD_HINT_TTL_MILLISECONDS;
    if (!isFresh) return shard.targets.length * random.unit();
    if (hint.isDoubtful) return -random.unit();
    const weight = (shard.targets.length * (hint.freeSlots + 1)) / (hint.queued + 1);
    return weight * random.unit();
  }
}

function mayTryOtherShard(reason: OutcomeReason, attempt: Attempt): boolean {
  if (OTHER_SHARD_REASONS.has(reason)) return true;
  const isRetryable = attempt.requestClass === 'idempotent' && attempt.body.isWhole;
  return isRetryable && reason === 'keeper-lost';
}
