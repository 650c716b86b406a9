/** One request of a caller's connection, from its head to the end of its answer. */

type RequestState = 'reading' | 'waiting' | 'started';

/**
 * What may be done with a request that has been read whole: it is executed, or refused because the
 * daemon stops, or dropped because the connection closes before its answer.
 */
export type Turn = 'execute' | 'refuse' | 'drop';

/** How far a request has come. */
export type RequestStage = 'reading' | 'waiting' | 'unsent' | 'at-target' | 'answering';

/** What is known of a request when its head has been read. */
export interface RequestHead {
  /** The attempt id that the caller set. */
  readonly id: string;
  /** Monotonic time at which the head was read. */
  readonly receivedAt: number;
  /** Whether the request has arrived whole. */
  readonly isComplete: () => boolean;
}

export default class PendingRequest {
  private currentState: RequestState = 'reading';

  private mayOverlap = false;

  private size = 0;

  private isAnswered = false;

  private resolveTurn: ((turn: Turn) => void) | undefined;

  private resolveLead: (() => void) | undefined;

  private readonly connectionController = new AbortController();

  private readonly executionController = new AbortController();

  private isPassedOn = false;

  constructor(public readonly head: RequestHead) {}

  /** Aborted when the connection ends before the answer does. */
  public get signal(): AbortSignal {
    return this.connectionController.signal;
  }

  /** Aborted also when the daemon ends the execution because it stops. */
  public get executionSignal(): AbortSignal {
    return this.executionController.signal;
  }

  /** Whether the daemon, which stops, has ended its execution. */
  public get isRefused(): boolean {
    return this.executionSignal.aborted && !this.signal.aborted;
  }

  public get state(): RequestState {
    return this.currentState;
  }

  public get stage(): RequestStage {
    if (this.currentState !== 'started') return this.currentState;
    if (this.isAnswered) return 'answering';
    return this.isPassedOn ? 'at-target' : 'unsent';
  }

  /** Whether it may run beside others and be lost: it is idempotent. */
  public get canOverlap(): boolean {
    return this.mayOverlap;
  }

  public get bodyBytes(): number {
    return this.size;
  }

  /** Waits for its turn, after it has been read whole. */
  public async awaitTurn(canOverlap: boolean, bodyBytes: number): Promise<Turn> {
    this.currentState = 'waiting';
    this.mayOverlap = canOverlap;
    this.size = bodyBytes;
    return new Promise((resolve) => {
      this.resolveTurn = resolve;
    });
  }

  /** Ends the wait for its turn. */
  public start(turn: Turn): void {
    this.currentState = 'started';
    this.resolveTurn?.(turn);
  }

  /** Waits until it is the first of its connection. */
  public async awaitLead(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.resolveLead = resolve;
    });
  }

  /** Ends the wait until it is the first. */
  public lead(): void {
    this.resolveLead?.();
  }

  /** Marks its answer as begun. */
  public beginAnswer(): void {
    this.currentState = 'started';
    this.isAnswered = true;
  }

  /** Marks it as passed on to a target or a peer; returns false if it must not be. */
  public passOn(): boolean {
    if (this.executionSignal.aborted) return false;
    this.isPassedOn = true;
    return true;
  }

  /** Ends its execution, unless it was passed on. */
  public refuseUnsent(): void {
    if (this.stage === 'unsent') this.executionController.abort();
  }

  /** Ends its execution at a target or a peer, as no time is left for its answer. */
  public giveUp(): void {
    if (this.stage === 'at-target') this.executionController.abort();
  }

  /** Whether a target or a peer may have executed it. */
  public get mayHaveRun(): boolean {
    return this.isPassedOn;
  }

  /** Ends all waits for it, as its connection has ended. */
  public abort(): void {
    this.connectionController.abort();
    this.executionController.abort();
    this.resolveTurn?.('drop');
    this.resolveLead?.();
  }
}
