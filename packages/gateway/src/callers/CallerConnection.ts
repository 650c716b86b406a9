/**
 * The requests of one connection of a caller. A caller may send requests before earlier ones have
 * been answered (pipelining), and answers leave in the order of the requests. Idempotent requests
 * overlap, up to a limit, so that the caller waits for the slowest of them and not for their sum. A
 * request that must run once waits until every answer before it has been written, because an answer
 * that closes the connection makes the caller send again what followed. For the same reason nothing
 * starts behind an answer that closes the connection.
 */
import type { Socket } from 'node:net';
import type { RequestHead, Turn } from './PendingRequest.js';
import PendingRequest from './PendingRequest.js';

/** Idempotent requests of one connection that are executed at the same time. */
const MAXIMUM_OVERLAPPING_REQUESTS = 4;
/** Reading stops while this many requests of the connection have been read and not answered. */
const MAXIMUM_UNANSWERED_REQUESTS = 16;
/** Reading stops while the bodies of these requests hold this many bytes. */
const MAXIMUM_UNANSWERED_BYTES = 1_048_576;

export default class CallerConnection {
  /** Unanswered requests in the order of their arrival. */
  private requests: readonly PendingRequest[] = [];

  /** Whether an answer that closes the connection was begun. */
  private isClosing = false;

  /** Requests before that answer, which are still executed and answered. */
  private beforeClosing: readonly PendingRequest[] = [];

  /** Whether no further request can be read. */
  private hasEnded = false;

  private hasStoppedReading = false;

  /** Whether the daemon stops, so that requests are refused which have not been passed on. */
  private isRefusing = false;

  /** @param onAnswered - called whenever requests have left, answered or cut off */
  constructor(
    private readonly socket: Socket,
    private readonly onAnswered: () => void,
  ) {
    socket.once('close', () => this.abortAll());
  }

  /** Number of unanswered requests. */
  public get size(): number {
    return this.requests.length;
  }

  /** Whether a request that was read whole has no answer yet. */
  public get owesAnswers(): boolean {
    return this.requests.some(({ head }) => head.isComplete());
  }

  /** Unanswered requests in the order of their arrival. */
  public get unanswered(): readonly PendingRequest[] {
    return this.requests;
  }

  /** Adds a request whose head has been read. */
  public add(head: RequestHead): PendingRequest {
    const request = new PendingRequest(head);
    this.requests = [...this.requests, request];
    return request;
  }

  /**
   * Waits for the turn of a request that has been read whole.
   *
   * @param canOverlap - whether it may run beside others and be lost: it is idempotent
   */
  public async awaitTurn(
    request: PendingRequest,
    canOverlap: boolean,
    bodyBytes: number,
  ): Promise<Turn> {
    if (!this.requests.includes(request)) return 'drop';
    const turn = request.awaitTurn(canOverlap, bodyBytes);
    this.startWaiting();
    this.limitReading();
    return turn;
  }

  /** From now on refuses what has been read and not been passed on to a target or a peer. */
  public refuseUnsent(): void {
    this.isRefusing = true;
    this.requests.forEach((request) => request.refuseUnsent());
    this.startWaiting();
  }

  /** Gives up the requests at targets and peers; their callers are told. */
  public giveUp(): void {
    this.requests.forEach((request) => request.giveUp());
  }

  /** Waits until all earlier answers have been written, or the connection has ended. */
  public async awaitLead(request: PendingRequest): Promise<void> {
    if (!this.requests.includes(request) || request === this.requests[0]) return;
    await request.awaitLead();
  }

  /**
   * Decides whether the answer that is about to be written closes the connection. It does not while
   * a later request has been read whole: the last of those closes it.
   *
   * @param wantsClose - whether the connection should end as soon as possible
   */
  public closesWith(request: PendingRequest, wantsClose: boolean): boolean {
    request.beginAnswer();
    const isLast = this.hasEnded && request === this.requests.at(-1);
    if (this.isFollowed(request) || !(wantsClose || isLast || this.isClosing)) return false;
    this.closeBehind(request);
    return true;
  }

  /** Starts no request behind this one, whose answer ends the connection. */
  public closeBehind(request: PendingRequest): void {
    const earlier = this.requests.slice(0, Math.max(0, this.requests.indexOf(request)));
    this.beforeClosing = this.isClosing
      ? earlier.filter((other) => this.beforeClosing.includes(other))
      : earlier;
    this.isClosing = true;
  }

  /** Reads no further request; the connection ends after the answers to those that are whole. */
  public endReading(): void {
    this.hasEnded = true;
    this.requests = this.requests.filter(({ head }) => head.isComplete());
    this.closeWhenAnswered();
  }

  /** Removes a request whose answer has been written, and starts those that waited for it. */
  public finish(finished: PendingRequest): void {
    this.requests = this.requests.filter((request) => request !== finished);
    this.requests[0]?.lead();
    this.startWaiting();
    this.limitReading();
    this.closeWhenAnswered();
    this.onAnswered();
  }

  /**
   * Ends the connection in place of an answer or of the rest of one. The connection is reset, since
   * to HTTP/1.0 an answer without a length would look whole if its connection ended in the ordinary
   * way. Answers before it are written first.
   */
  public cut(request: PendingRequest): void {
    this.closeBehind(request);
    if (this.requests[0] === request) this.socket.resetAndDestroy();
    else this.finish(request);
  }

  /** Resets the connection if an answer was begun on it and is not whole yet. */
  public resetHalfAnswered(): void {
    if (this.requests[0]?.stage === 'answering') this.socket.resetAndDestroy();
  }

  /** Whether a later request of the connection is being executed, or will be. */
  private isFollowed(request: PendingRequest): boolean {
    const later = this.requests.slice(this.requests.indexOf(request) + 1);
    return later.some(
      (other) => other.state === 'started' || (other.state === 'waiting' && this.mayFollow(other)),
    );
  }

  private closeWhenAnswered(): void {
    if (!this.isClosing && !this.hasEnded) return;
    const owed = this.isClosing
      ? this.requests.filter((request) => request.state === 'started' || this.mayFollow(request))
      : this.requests;
    if (owed.length === 0) this.socket.destroySoon();
  }

  private startWaiting(): void {
    this.requests.forEach((request, position) => {
      if (request.state !== 'waiting' || !this.mayFollow(request)) return;
      if (this.isRefusing) request.start('refuse');
      else if (mayStart(request, this.requests.slice(0, position))) request.start('execute');
    });
  }

  /** Whether the connection stays open for the answer to a request that has not started. */
  private mayFollow(request: PendingRequest): boolean {
    return !this.isClosing || this.beforeClosing.includes(request);
  }

  /** Applies back pressure to a caller that sends requests faster than they are answered. */
  private limitReading(): void {
    const unanswered = this.requests.filter(({ state }) => state !== 'reading');
    const bytes = unanswered.reduce((sum, { bodyBytes }) => sum + bodyBytes, 0);
    const isFull =
      unanswered.length >= MAXIMUM_UNANSWERED_REQUESTS ||
      (unanswered.length > 1 && bytes >= MAXIMUM_UNANSWERED_BYTES);
    if (isFull) this.socket.pause();
    else if (this.hasStoppedReading) this.socket.resume();
    this.hasStoppedReading = isFull;
  }

  private abortAll(): void {
    const aborted = this.requests;
    this.requests = [];
    this.isClosing = true;
    aborted.forEach((request) => request.abort());
    this.onAnswered();
  }
}

function mayStart(request: PendingRequest, earlier: readonly PendingRequest[]): boolean {
  if (earlier.length === 0) return true;
  return (
    request.canOverlap &&
    earlier.length < MAXIMUM_OVERLAPPING_REQUESTS &&
    earlier.every(({ state, canOverlap }) => state === 'started' && canOverlap)
  );
}
