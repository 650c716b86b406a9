/**
 * Relays requests to a peer that reaches targets, for a daemon that is cut off from all of them. The
 * peer executes the request as one of its own callers', with its limits, retries and evidence, and
 * never relays it further. The line between "not run" and "unknown" is the first byte written to the
 * peer, but for its own statement that it did not run the request.
 */
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import { shuffle } from '@cactusrun/core';
import type { CallerExchange, Refused } from '../callers/CallerExchange.js';
import type { RefusalReason } from '../callers/Refusal.js';
import type { AttemptResult, TargetAnswer } from '../connections/TargetAttempt.js';
import TargetGoneError from '../connections/TargetGoneError.js';
import type TargetConnections from '../connections/TargetConnections.js';
import type EntryDirectory from '../fleet/EntryDirectory.js';
import type { PeerDescription } from '../fleet/PeerMessage.js';
import type { RelayStatement } from './RelayStatement.js';
import { decodeRefusal, encodeStatement } from './RelayField.js';

/** Peers that are asked in turn for one request, while it certainly did not run. */
const MAXIMUM_PEERS = 3;
/** A peer that could not take a request is avoided for this long. */
const AVOID_MILLISECONDS = 1_000;

/** Refusals by a peer that another peer need not share. */
const PEER_FAULTS: ReadonlySet<RefusalReason> = new Set([
  'unreachable',
  'no-configuration',
  'stopping',
  'memory-full',
]);

export interface RelayedRequest {
  readonly exchange: CallerExchange;
  readonly kind: 'repeatable' | 'once';
  /** Monotonic time by which the answer must have arrived. */
  readonly deadline: number;
  readonly statement: RelayStatement;
  /** Whether only a peer that authorizes callers may execute the request. */
  readonly needsAuthorization: boolean;
}

export type RelayResult =
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  /** The peer itself refused the request, with the reason that the caller is to get. */
  | ({ readonly kind: 'refused' } & Refused)
  /** No peer took the request, which was not run. */
  | { readonly kind: 'no-peer' }
  | Extract<AttemptResult, { kind: 'broken' | 'timeout' | 'cancelled' }>;

export interface PeerRelayParts {
  readonly directory: Pick<EntryDirectory, 'relayPeers'>;
  readonly connections: Pick<TargetConnections, 'send'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}

type Peer = PeerDescription & { readonly relayAddress: string };

/** What came of a request at one peer. */
type PeerResult =
  | Exclude<RelayResult, { kind: 'no-peer' }>
  /** The peer certainly did not run the request, and another one may. */
  | { readonly kind: 'not-taken' };

export default class PeerRelay {
  /** Monotonic time until which each peer is avoided. */
  private readonly avoidedUntil = new Map<string, number>();

  /** Cancels the requests under way at each peer. */
  private readonly controllers = new Map<string, AbortController>();

  constructor(private readonly parts: PeerRelayParts) {}

  /**
   * Whether there is a peer to relay to.
   *
   * @param needsAuthorization - whether it must authorize callers, which older builds do not
   */
  public isAvailable(needsAuthorization: boolean): boolean {
    return this.candidates(needsAuthorization).length > 0;
  }

  /** Ends the requests under way at a peer that is gone; answers that have arrived whole stay. */
  public forget(peer: string): void {
    this.controllers.get(peer)?.abort(new TargetGoneError(peer));
    this.controllers.delete(peer);
    this.avoidedUntil.delete(peer);
  }

  /** Relays a request to one peer, or to another one while it certainly did not run. */
  public async send(request: RelayedRequest): Promise<RelayResult> {
    const candidates = this.candidates(request.needsAuthorization);
    const peers = shuffle(this.parts.random, candidates).slice(0, MAXIMUM_PEERS);
    return this.sendToFirst(peers, request);
  }

  private async sendToFirst(
    [peer, ...others]: readonly Peer[],
    request: RelayedRequest,
  ): Promise<RelayResult> {
    if (peer === undefined) return { kind: 'no-peer' };
    const result = await this.sendTo(peer, request);
    this.record(peer, request, result);
    if (result.kind !== 'not-taken') return result;
    this.avoidedUntil.set(peer.name, this.parts.clock.now() + AVOID_MILLISECONDS);
    return this.sendToFirst(others, request);
  }

  private async sendTo(
    peer: Peer,
    { exchange, kind, deadline, statement }: RelayedRequest,
  ): Promise<PeerResult> {
    const controller = this.controllers.get(peer.name) ?? new AbortController();
    this.controllers.set(peer.name, controller);
    const result = await this.parts.connections.send(
      { id: peer.name, address: peer.relayAddress },
      {
        id: exchange.id,
        method: exchange.method,
        path: exchange.path,
        fields: [...exchange.fields, ...encodeStatement(statement)],
        body: exchange.body,
        kind,
        deadline,
        isRetry: statement.attemptsMade > 0,
        needsNewConnection: false,
      },
      AbortSignal.any([exchange.signal, controller.signal]),
    );
    if (result.kind === 'cancelled' && !exchange.signal.aborted) {
      return { kind: 'broken', detail: 'peer is gone' };
    }
    return interpret(result);
  }

  private record(peer: Peer, { exchange }: RelayedRequest, { kind }: PeerResult): void {
    this.parts.counters.add('relayed_requests', kind);
    if (kind === 'answered') return;
    this.parts.logger.info('relay-failed', {
      request: exchange.id,
      peer: peer.name,
      result: kind,
    });
  }

  private candidates(needsAuthorization: boolean): readonly Peer[] {
    const now = this.parts.clock.now();
    return this.parts.directory
      .relayPeers()
      .filter(({ name }) => (this.avoidedUntil.get(name) ?? 0) <= now)
      .filter(({ authorizesCallers }) => !needsAuthorization || authorizesCallers === true)
      .filter((peer): peer is Peer => peer.relayAddress !== undefined);
  }
}

/** What an exchange with a peer means for the request. */
function interpret(result: AttemptResult): PeerResult {
  if (result.kind === 'not-sent' || result.kind === 'not-run') return { kind: 'not-taken' };
  if (result.kind === 'dropped') return { kind: 'broken', detail: result.detail };
  if (result.kind !== 'answered') return result;
  const refused = decodeRefusal(result.answer.fields);
  if (refused === undefined) return result;
  return PEER_FAULTS.has(refused.reason) ? { kind: 'not-taken' } : { kind: 'refused', ...refused };
}
