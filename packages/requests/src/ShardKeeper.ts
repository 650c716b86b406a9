/**
 * Keeps the targets of one shard: every request to them goes through here, so that their slots are
 * counted in one place, one queue serves them all, and one daemon sees the evidence of each.
 */
import type {
  Clock,
  Contract,
  Counters,
  OutcomeReason,
  Random,
  Target,
  TargetHealth,
} from '@cactusrun/core';
import type { Attempt, AttemptResult, ShardLoad } from './Attempt.js';
import { refusal } from './Attempt.js';
import type CrashWatch from './CrashWatch.js';
import type { OrderWindowUse } from './OrderWindow.js';
import OrderWindow from './OrderWindow.js';
import RetryBudget from './RetryBudget.js';
import type { QueueResult } from './SlotQueue.js';
import SlotQueue from './SlotQueue.js';
import TargetChooser from './TargetChooser.js';
import type { TargetConnector } from './TargetConnector.js';
import type { Failure, Grant } from './TargetSender.js';
import TargetSender from './TargetSender.js';
import TargetSlots from './TargetSlots.js';

/** Requests that may wait for each slot. */
const QUEUE_PER_SLOT = 2;
/** Weight of the newest measurement in the mean time that a slot is held. */
const HOLD_WEIGHT = 0.1;
const FIRST_HOLD_MILLISECONDS = 50;
/** Attempts of one request at targets, the first one included. */
const MAXIMUM_ATTEMPTS = 3;

export interface ShardKeeperOptions {
  readonly shard: string;
  readonly contract: Contract;
  readonly targets: readonly Target[];
  /** Deposits of an order window that this shard may start. */
  readonly depositShare: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly connector: TargetConnector;
  readonly health: TargetHealth;
  readonly crashes: CrashWatch;
  readonly counters: Counters;
  /** Told of a target that answered that it leaves. */
  readonly onLeaving?: (target: Target) => void;
  /** How many requests may wait; the default is a fixed number for each slot. */
  readonly queueLimit?: (slots: number, holdMilliseconds: number) => number;
}

/** How a failure at a target is told, and when the request may be sent to another one. */
interface FailureRule {
  readonly reason: OutcomeReason;
  readonly retry: 'proved-not-run' | 'idempotent-only';
}

const FAILURES: Readonly<Record<Failure['kind'], FailureRule>> = {
  shed: { reason: 'target-shed', retry: 'proved-not-run' },
  'connect-failed': { reason: 'connect-failed', retry: 'proved-not-run' },
  broken: { reason: 'target-broke-off', retry: 'idempotent-only' },
  timeout: { reason: 'target-timeout', retry: 'idempotent-only' },
};

const IN_DOUBT: readonly OutcomeReason[] = ['target-broke-off', 'target-timeout'];

function isProvedNotRun(result: AttemptResult): boolean {
  return result.kind === 'refused' && !IN_DOUBT.includes(result.reason);
}

export default class ShardKeeper {
  private readonly slots = new Map<string, TargetSlots>();

  private readonly queue: SlotQueue<Grant>;

  private readonly budget: RetryBudget;

  private readonly window: OrderWindow;

  private readonly chooser: TargetChooser;

  private readonly sender: TargetSender;

  private readonly queueLimit: (slots: number, holdMilliseconds: number) => number;

  private holdMilliseconds = FIRST_HOLD_MILLISECONDS;

  private contract: Contract;

  constructor(private readonly options: ShardKeeperOptions) {
    const { clock, contract, targets, depositShare, health, random } = options;
    this.contract = contract;
    this.queue = new SlotQueue(clock);
    this.budget = new RetryBudget(contract.retryBudgetPercent);
    this.window = new OrderWindow(clock, contract.orderWindowMilliseconds, depositShare);
    this.chooser = new TargetChooser(this.slots, health, random);
    this.sender = new TargetSender({
      ...options,
      onHeld: (milliseconds) => this.noteHold(milliseconds),
      onLeaving: (target) => this.closeTarget(target),
    });
    this.queueLimit = options.queueLimit ?? ((slots) => slots * QUEUE_PER_SLOT);
    this.update(contract, targets, depositShare, () => false);
  }

  /** Puts another revision of the contract, or another view of leaving targets, in force. */
  public update(
    contract: Contract,
    targets: readonly Target[],
    depositShare: number,
    isClosed: (target: string) => boolean,
  ): void {
    this.contract = contract;
    this.budget.setPercent(contract.retryBudgetPercent);
    this.window.configure(contract.orderWindowMilliseconds, depositShare);
    const names = new Set(targets.map((target) => target.name));
    this.slots.forEach((_, name) => {
      if (!names.has(name)) this.slots.delete(name);
    });
    targets.forEach((target) => this.updateTarget(target, isClosed(target.name)));
    this.queue.serve();
  }

  /** Runs one request; the result is the truth about it. */
  public async run(attempt: Attempt): Promise<AttemptResult> {
    if (this.options.crashes.isHeld(attempt.fingerprint)) {
      return this.refuse('held-back', attempt.fingerprint);
    }
    this.budget.deposit();
    const deposit = this.startDeposit(attempt);
    if (deposit === 'full') return this.refuse('order-window-full', attempt.service);
    const result = await this.tryTargets(attempt, []);
    if (deposit !== undefined && isProvedNotRun(result)) this.window.giveBack(deposit);
    return result;
  }

  /** What callers elsewhere need to know to choose between shards. */
  public load(): ShardLoad {
    const free = [...this.slots.values()].reduce((sum, slots) => sum + slots.free, 0);
    const { isDoubtful } = this.options.health;
    return { freeSlots: free, queued: this.queue.length, isDoubtful };
  }

  /** The slots in use of each target. */
  public use(): ReadonlyMap<string, number> {
    return new Map([...this.slots].map(([name, slots]) => [name, slots.used]));
  }

  /** Whether the target takes no new work: drained, leaving or gone. */
  public isClosed(target: string): boolean {
    return this.slots.get(target)?.isClosed ?? true;
  }

  public get inFlight(): number {
    return [...this.use().values()].reduce((sum, used) => sum + used, 0);
  }

  /** Deposits started in this order window, for a successor. */
  public depositUse(): OrderWindowUse {
    return this.window.use();
  }

  /** The shard came from a keeper that told nothing: it may have started deposits. */
  public takeOverUntold(): void {
    this.window.closeUntilNextWindow();
  }

  /** Takes over what a former keeper told; its slots come free again after the time given. */
  public takeOver(
    use: OrderWindowUse,
    slotsInUse: ReadonlyMap<string, number>,
    milliseconds: number,
  ): void {
    this.window.restore(use);
    slotsInUse.forEach((count, name) => this.slots.get(name)?.setHandedOver(count));
    this.options.clock.after(milliseconds, () => {
      slotsInUse.forEach((_, name) => this.slots.get(name)?.setHandedOver(0));
      this.queue.serve();
    });
  }

  /** A target stands better now: those who wait may go. */
  public wake(): void {
    this.queue.serve();
  }

  /** The shard belongs to another keeper now: whoever waits is sent there. */
  public giveUp(): void {
    this.queue.refuseAll('keeper-changed');
  }

  /** A target said or showed that it takes no more work. */
  public closeTarget(name: string): void {
    const slots = this.slots.get(name);
    if (slots === undefined || slots.isClosed) return;
    slots.isClosed = true;
    this.options.onLeaving?.(slots.target);
    this.options.counters.add('targets_closed', 'drain-seen');
  }

  private updateTarget(target: Target, isClosed: boolean): void {
    const known = this.slots.get(target.name);
    const isSame = known?.target.address === target.address;
    const slots = isSame ? known : new TargetSlots(target, this.contract.slotsPerTarget);
    slots.setLimit(this.contract.slotsPerTarget);
    slots.isClosed = isClosed;
    this.slots.set(target.name, slots);
  }

  private startDeposit(attempt: Attempt): number | 'full' | undefined {
    if (!attempt.isDeposit) return undefined;
    return this.window.tryStart() ? this.window.use().windowStart : 'full';
  }

  private async tryTargets(attempt: Attempt, tried: readonly string[]): Promise<AttemptResult> {
    const granted = await this.acquire(attempt, tried);
    if (granted.kind === 'refused') return this.refuse(granted.reason, attempt.shard);
    attempt.onAdmitted?.();
    const grant = granted.slot;
    const nowTried = [...tried, grant.slots.target.name];
    const result = await this.sender.sendHedged(attempt, grant, () =>
      this.takeHedge(attempt, nowTried),
    );
    if (result.kind === 'answered') return { ...result, load: this.load() };
    if (!this.mayRetry(attempt, result, nowTried)) {
      const detail = 'detail' in result ? result.detail : grant.slots.target.name;
      return this.refuse(FAILURES[result.kind].reason, detail);
    }
    this.options.counters.add('retries', result.kind);
    return this.tryTargets(attempt, nowTried);
  }

  private mayRetry(attempt: Attempt, failure: Failure, tried: readonly string[]): boolean {
    const { clock, crashes } = this.options;
    const isSafe =
      FAILURES[failure.kind].retry === 'proved-not-run' || attempt.requestClass === 'idempotent';
    const isPossible =
      attempt.body.isWhole && !attempt.signal.aborted && clock.now() < attempt.deadline;
    const hasOther = [...this.slots].some(([name, { size }]) => size > 0 && !tried.includes(name));
    if (!isSafe || !isPossible || !hasOther || tried.length >= MAXIMUM_ATTEMPTS) return false;
    return !crashes.isHeld(attempt.fingerprint) && this.withdraw();
  }

  private takeHedge(attempt: Attempt, tried: readonly string[]): Grant | undefined {
    if (this.queue.length > 0 || attempt.signal.aborted) return undefined;
    const isCrashSuspect = this.options.crashes.isSuspect(attempt.fingerprint);
    const slots = this.chooser.chooseHedge(attempt, { tried, isCrashSuspect });
    if (slots === undefined || !this.withdraw()) return undefined;
    return this.grant(slots, isCrashSuspect);
  }

  private withdraw(): boolean {
    const isGranted = this.budget.withdraw();
    if (!isGranted) this.options.counters.add('retries', 'budget-empty');
    return isGranted;
  }

  private acquire(attempt: Attempt, tried: readonly string[]): Promise<QueueResult<Grant>> {
    const isFirst = this.queue.aheadOf(attempt.priority) === 0;
    const grant = isFirst ? this.take(attempt, tried) : undefined;
    if (grant !== undefined) return Promise.resolve({ kind: 'slot', slot: grant });
    const reason = this.refuseToWait(attempt);
    if (reason !== undefined) return Promise.resolve({ kind: 'refused', reason });
    return this.queue.wait({
      priority: attempt.priority,
      deadline: attempt.deadline,
      signal: attempt.signal,
      take: () => this.take(attempt, tried),
    });
  }

  /** Refuses at once what would surely not be served before its deadline. */
  private refuseToWait(attempt: Attempt): OutcomeReason | undefined {
    const size = [...this.slots.values()].reduce((sum, slots) => sum + slots.size, 0);
    if (size === 0) return 'no-target';
    if (this.queue.length >= this.queueLimit(size, this.holdMilliseconds)) return 'queue-full';
    const ahead = this.queue.aheadOf(attempt.priority) + 1;
    const expectedWait = (ahead * this.holdMilliseconds) / size;
    const remaining = attempt.deadline - this.options.clock.now();
    return expectedWait > remaining ? 'queue-deadline' : undefined;
  }

  private take(attempt: Attempt, tried: readonly string[]): Grant | undefined {
    const isCrashSuspect = this.options.crashes.isSuspect(attempt.fingerprint);
    const slots = this.chooser.choose(attempt, { tried, isCrashSuspect });
    return slots === undefined ? undefined : this.grant(slots, isCrashSuspect);
  }

  private grant(slots: TargetSlots, isCrashSuspect: boolean): Grant {
    const release = slots.take(isCrashSuspect);
    return {
      slots,
      release: () => {
        release();
        this.queue.serve();
      },
    };
  }

  private noteHold(milliseconds: number): void {
    this.holdMilliseconds += HOLD_WEIGHT * (milliseconds - this.holdMilliseconds);
  }

  private refuse(reason: OutcomeReason, detail: string): AttemptResult {
    this.options.counters.add('keeper_refusals', reason);
    return refusal(reason, detail, this.load());
  }
}
