/**
 * The requests of one connection of a caller. A caller may send requests before earlier ones have
 * been answered (pipelining), and answers leave in the order of the requests. Idempotent requests
 * overlap, up to a limit, so that the caller waits for the slowest of them and not for their sum. A
 * request that must run once waits until every answer before it has been written, because an answer
 * that closes the connection makes the caller send again what followed. For the same reason nothing
 * starts behind an answer that closes the connection.
 */
import type { Socket } from 'node:net';

/** Idempotent requests of one connection that are executed at the same time. */
const MAXIMUM_OVERLAPPING_REQUESTS = 4;
/** Reading stops while this many requests of the connection have been read and not answered. */
const MAXIMUM_UNANSWERED_REQUESTS = 16;
/** Reading stops while the bodies of these requests hold this many bytes. */
const MAXIMUM_UNANSWERED_BYTES = 1_048_576;

type RequestState = 'reading' | 'waiting' | 'started';

/** One request of the connection, from its head to the end of its answer. */
export interface ConnectionRequest {
  /** Aborted when the connection ends before the answer does. */
  readonly signal: AbortSignal;
}

interface PendingRequest extends ConnectionRequest {
  readonly controller: AbortController;
  /** Whether the request has arrived whole. */
  readonly isComplete: () => boolean;
  state: RequestState;
  canOverlap: boolean;
  bodyBytes: number;
  /** Resolves the wait for its turn. */
  start: (hasTurn: boolean) => void;
  /** Resolves the wait until it is the first. */
  lead: () => void;
}

export default class CallerConnection {
  /** Unanswered requests in the order of their arrival. */
  private requests: readonly PendingRequest[] = [];

  /** Whether an answer that closes the connection was begun. */
  private isClosing = false;

  /** Whether no further request can be read. */
  private hasEnded = false;

  private hasStoppedReading = false;

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
    return this.requests.some(({ isComplete }) => isComplete());
  }

  /**
   * Adds a request whose head has been read.
   *
   * @param isComplete - whether the request has arrived whole
   */
  public add(isComplete: () => boolean): ConnectionRequest {
    const controller = new AbortController();
    const request: PendingRequest = {
      controller,
      signal: controller.signal,
      isComplete,
      state: 'reading',
      canOverlap: false,
      bodyBytes: 0,
      start: () => {},
      lead: () => {},
    };
    this.requests = [...this.requests, request];
    return request;
  }

  /**
   * Waits until a request that has been read whole may be executed.
   *
   * @param canOverlap - whether it may run beside others and be lost: it is idempotent
   * @returns false when it must not be executed, because the connection closes before its answer
   */
  public async awaitTurn(
    { signal }: ConnectionRequest,
    canOverlap: boolean,
    bodyBytes: number,
  ): Promise<boolean> {
    const request = this.find(signal);
    if (request === undefined) return false;
    request.state = 'waiting';
    request.canOverlap = canOverlap;
    request.bodyBytes = bodyBytes;
    const turn = new Promise<boolean>((resolve) => {
      request.start = resolve;
    });
    this.startWaiting();
    this.limitReading();
    return turn;
  }

  /** Waits until all earlier answers have been written, or the connection has ended. */
  public async awaitLead({ signal }: ConnectionRequest): Promise<void> {
    const request = this.find(signal);
    if (request === undefined || request === this.requests[0]) return;
    await new Promise<void>((resolve) => {
      request.lead = resolve;
    });
  }

  /**
   * Decides whether the answer that is about to be written closes the connection. It does not while
   * a later request is being executed: the last of those closes it.
   *
   * @param wantsClose - whether the connection should end as soon as possible
   */
  public closesWith({ signal }: ConnectionRequest, wantsClose: boolean): boolean {
    const request = this.find(signal);
    if (request !== undefined) request.state = 'started';
    const isLast = this.hasEnded && request === this.requests.at(-1);
    if (this.isFollowed({ signal }) || !(wantsClose || isLast || this.isClosing)) return false;
    this.isClosing = true;
    return true;
  }

  /** Whether a later request of the connection is being executed. */
  public isFollowed({ signal }: ConnectionRequest): boolean {
    const position = this.requests.findIndex((request) => request.signal === signal);
    return this.requests.slice(position + 1).some(({ state }) => state === 'started');
  }

  /** Starts no further request: the connection is about to end. */
  public startNoMore(): void {
    this.isClosing = true;
  }

  /** Reads no further request; the connection ends after the answers to those that are whole. */
  public endReading(): void {
    this.hasEnded = true;
    this.requests = this.requests.filter(({ isComplete }) => isComplete());
    this.closeWhenAnswered();
  }

  /** Removes a request whose answer has been written, and starts those that waited for it. */
  public finish({ signal }: ConnectionRequest): void {
    this.requests = this.requests.filter((request) => request.signal !== signal);
    this.requests[0]?.lead();
    this.startWaiting();
    this.limitReading();
    this.closeWhenAnswered();
    this.onAnswered();
  }

  /**
   * Ends the connection in place of an answer or of the rest of one. The connection is reset, since
   * an answer without a length would look whole if its connection ended in the ordinary way.
   * Answers before it are written first.
   */
  public cut({ signal }: ConnectionRequest): void {
    this.isClosing = true;
    if (this.requests[0]?.signal === signal) this.socket.resetAndDestroy();
    else this.finish({ signal });
  }

  private closeWhenAnswered(): void {
    if (!this.isClosing && !this.hasEnded) return;
    const owed = this.isClosing
      ? this.requests.filter(({ state }) => state === 'started')
      : this.requests;
    if (owed.length === 0) this.socket.destroySoon();
  }

  private find(signal: AbortSignal): PendingRequest | undefined {
    return this.requests.find((request) => request.signal === signal);
  }

  private startWaiting(): void {
    if (this.isClosing) return;
    this.requests.forEach((request, position) => {
      const earlier = this.requests.slice(0, position);
      if (request.state !== 'waiting' || !mayStart(request, earlier)) return;
      request.state = 'started';
      request.start(true);
    });
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
    aborted.forEach(({ controller, start, lead }) => {
      controller.abort();
      start(false);
      lead();
    });
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
