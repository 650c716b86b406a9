/**
 * Dispatches all requests to the targets of one shard. The daemon that runs it is the keeper of the
 * shard: slots are counted in one place, one queue serves all targets, and one daemon sees all
 * evidence about them.
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
import type CrashTracker from './CrashTracker.js';
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

/** Requests that may be queued for each slot. */
const QUEUED_REQUESTS_PER_SLOT = 2;
/** Weight of the newest value in the mean time that a request occupies a slot. */
const SLOT_TIME_WEIGHT = 0.1;
const INITIAL_SLOT_MILLISECONDS = 50;
/** Targets that one request may be sent to one after another, the first included. */
const MAXIMUM_ATTEMPTS = 3;

export interface ShardKeeperOptions {
  readonly shard: string;
  readonly contract: Contract;
  readonly targets: readonly Target[];
  /** Deposits that this shard may start in an order window. */
  readonly depositShare: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly connector: TargetConnector;
  readonly health: TargetHealth;
  readonly crashes: CrashTracker;
  readonly counters: Counters;
  /** Called when a target answers that it is leaving. */
  readonly onLeaving?: (target: Target) => void;
  /** The maximum length of the queue; by default a fixed number for each slot. */
  readonly queueLimit?: (slots: number, meanSlotMilliseconds: number) => number;
}

/** The reason reported for a failure at a target, and which requests may be retried after it. */
interface FailureRule {
  readonly reason: OutcomeReason;
  readonly retry: 'proved-not-run' | 'idempotent-only';
}

const FAILURE_RULES: Readonly<Record<Failure['kind'], FailureRule>> = {
  shed: { reason: 'target-shed', retry: 'proved-not-run' },
  'connect-failed': { reason: 'connect-failed', retry: 'proved-not-run' },
  broken: { reason: 'target-broke-off', retry: 'idempotent-only' },
  timeout: { reason: 'target-timeout', retry: 'idempotent-only' },
};

const IN_DOUBT_REASONS: readonly OutcomeReason[] = ['target-broke-off', 'target-timeout'];

function isProvedNotRun(result: AttemptResult): boolean {
  return result.kind === 'refused' && !IN_DOUBT_REASONS.includes(result.reason);
}

export default class ShardKeeper {
  private readonly slots = new Map<string, TargetSlots>();

  private readonly queue: SlotQueue<Grant>;

  private readonly retryBudget: RetryBudget;

  private readonly orderWindow: OrderWindow;

  private readonly chooser: TargetChooser;

  private readonly sender: TargetSender;

  private readonly queueLimit: (slots: number, meanSlotMilliseconds: number) => number;

  private meanSlotMilliseconds = INITIAL_SLOT_MILLISECONDS;

  private contract: Contract;

  constructor(private readonly options: ShardKeeperOptions) {
    const { clock, contract, targets, depositShare, health, random } = options;
    this.contract = contract;
    this.queue = new SlotQueue(clock);
    this.retryBudget = new RetryBudget(contract.retryBudgetPercent);
    this.orderWindow = new OrderWindow(clock, contract.orderWindowMilliseconds, depositShare);
    this.chooser = new TargetChooser(this.slots, health, random);
    this.sender = new TargetSender({
      ...options,
      onSlotReleased: (milliseconds) => this.recordSlotTime(milliseconds),
      onLeaving: (target) => this.closeTarget(target),
    });
    this.queueLimit = options.queueLimit ?? ((slots) => slots * QUEUED_REQUESTS_PER_SLOT);
    this.update(contract, targets, depositShare, () => false);
  }

  /** Applies a new revision of the contract, or a change of the closed targets. */
  public update(
    contract: Contract,
    targets: readonly Target[],
    depositShare: number,
    isClosed: (target: string) => boolean,
  ): void {
    this.contract = contract;
    this.retryBudget.setPercent(contract.retryBudgetPercent);
    this.orderWindow.configure(contract.orderWindowMilliseconds, depositShare);
    const names = new Set(targets.map((target) => target.name));
    this.slots.forEach((_, name) => {
      if (!names.has(name)) this.slots.delete(name);
    });
    targets.forEach((target) => this.updateTarget(target, isClosed(target.name)));
    this.queue.serve();
  }

  /** Runs one request, with retries and hedging. */
  public async run(attempt: Attempt): Promise<AttemptResult> {
    if (this.options.crashes.isHeld(attempt.fingerprint)) {
      return this.refuse('held-back', attempt.fingerprint);
    }
    this.retryBudget.recordRequest();
    const deposit = this.startDeposit(attempt);
    if (deposit === 'full') return this.refuse('order-window-full', attempt.service);
    const result = await this.attemptTargets(attempt, []);
    if (deposit !== undefined && isProvedNotRun(result)) this.orderWindow.cancelDeposit(deposit);
    return result;
  }

  /** The load that other daemons use to choose between shards. */
  public load(): ShardLoad {
    const free = [...this.slots.values()].reduce((sum, slots) => sum + slots.free, 0);
    const { isDoubtful } = this.options.health;
    return { freeSlots: free, queued: this.queue.length, isDoubtful };
  }

  /** The number of slots in use at each target. */
  public slotsInUse(): ReadonlyMap<string, number> {
    return new Map([...this.slots].map(([name, slots]) => [name, slots.used]));
  }

  /** Whether the target accepts no new requests: drained, leaving or removed. */
  public isClosed(target: string): boolean {
    return this.slots.get(target)?.isClosed ?? true;
  }

  public get inFlight(): number {
    return [...this.slotsInUse().values()].reduce((sum, used) => sum + used, 0);
  }

  /** Deposits started in this order window, for the next keeper. */
  public depositUse(): OrderWindowUse {
    return this.orderWindow.use();
  }

  /** Takes the shard over without a handover: the former keeper may have started deposits. */
  public takeOverWithoutHandover(): void {
    this.orderWindow.closeUntilNextWindow();
  }

  /** Applies the handover of the former keeper, whose slots are freed after the given time. */
  public applyHandover(
    depositUse: OrderWindowUse,
    slotsInUse: ReadonlyMap<string, number>,
    milliseconds: number,
  ): void {
    this.orderWindow.restore(depositUse);
    slotsInUse.forEach((count, name) => this.slots.get(name)?.setHandedOver(count));
    this.options.clock.after(milliseconds, () => {
      slotsInUse.forEach((_, name) => this.slots.get(name)?.setHandedOver(0));
      this.queue.serve();
    });
  }

  /** Serves the queue again after a target was restored. */
  public serveQueue(): void {
    this.queue.serve();
  }

  /** Refuses the queued requests, after another daemon became the keeper of the shard. */
  public refuseQueued(): void {
    this.queue.refuseAll('keeper-changed');
  }

  /** Stops sending requests to a target that is leaving. */
  public closeTarget(name: string): void {
    const slots = this.slots.get(name);
    if (slots === undefined || slots.isClosed) return;
    slots.isClosed = true;
    this.options.onLeaving?.(slots.target);
    this.options.counters.add('targets_closed', 'drain-seen');
  }

  private updateTarget(target: Target, isClosed: boolean): void {
    const existing = this.slots.get(target.name);
    const isSameAddress = existing?.target.address === target.address;
    const slots = isSameAddress ? existing : new TargetSlots(target, this.contract.slotsPerTarget);
    slots.setLimit(this.contract.slotsPerTarget);
    slots.isClosed = isClosed;
    this.slots.set(target.name, slots);
  }

  private startDeposit(attempt: Attempt): number | 'full' | undefined {
    if (!attempt.isDeposit) return undefined;
    return this.orderWindow.tryStartDeposit() ? this.orderWindow.use().windowStart : 'full';
  }

  private async attemptTargets(attempt: Attempt, tried: readonly string[]): Promise<AttemptResult> {
    const acquired = await this.acquireOrWait(attempt, tried);
    if (acquired.kind === 'refused') return this.refuse(acquired.reason, attempt.shard);
    attempt.onAdmitted?.();
    const grant = acquired.slot;
    const triedTargets = [...tried, grant.slots.target.name];
    const result = await this.sender.sendHedged(attempt, grant, () =>
      this.acquireHedge(attempt, triedTargets),
    );
    if (result.kind === 'answered') return { ...result, load: this.load() };
    if (!this.mayRetry(attempt, result, triedTargets)) {
      const detail = 'detail' in result ? result.detail : grant.slots.target.name;
      return this.refuse(FAILURE_RULES[result.kind].reason, detail);
    }
    this.options.counters.add('retries', result.kind);
    return this.attemptTargets(attempt, triedTargets);
  }

  private mayRetry(attempt: Attempt, failure: Failure, tried: readonly string[]): boolean {
    const { clock, crashes } = this.options;
    const isSafe =
      FAILURE_RULES[failure.kind].retry === 'proved-not-run' ||
      attempt.requestClass === 'idempotent';
    const isPossible =
      attempt.body.isWhole && !attempt.signal.aborted && clock.now() < attempt.deadline;
    const hasOtherTarget = [...this.slots].some(
      ([name, { size }]) => size > 0 && !tried.includes(name),
    );
    if (!isSafe || !isPossible || !hasOtherTarget || tried.length >= MAXIMUM_ATTEMPTS) return false;
    return !crashes.isHeld(attempt.fingerprint) && this.withdrawRetry();
  }

  private acquireHedge(attempt: Attempt, tried: readonly string[]): Grant | undefined {
    if (this.queue.length > 0 || attempt.signal.aborted) return undefined;
    const isCrashSuspect = this.options.crashes.isSuspect(attempt.fingerprint);
    const slots = this.chooser.chooseHedge(attempt, { tried, isCrashSuspect });
    if (slots === undefined || !this.withdrawRetry()) return undefined;
    return this.grantSlot(slots, isCrashSuspect);
  }

  private withdrawRetry(): boolean {
    const isAllowed = this.retryBudget.withdraw();
    if (!isAllowed) this.options.counters.add('retries', 'budget-empty');
    return isAllowed;
  }

  private acquireOrWait(attempt: Attempt, tried: readonly string[]): Promise<QueueResult<Grant>> {
    const isFirst = this.queue.aheadOf(attempt.priority) === 0;
    const grant = isFirst ? this.acquireSlot(attempt, tried) : undefined;
    if (grant !== undefined) return Promise.resolve({ kind: 'slot', slot: grant });
    const reason = this.queueRefusal(attempt);
    if (reason !== undefined) return Promise.resolve({ kind: 'refused', reason });
    return this.queue.wait({
      priority: attempt.priority,
      deadline: attempt.deadline,
      signal: attempt.signal,
      take: () => this.acquireSlot(attempt, tried),
    });
  }

  /** The reason to refuse a request instead of queueing it, if its deadline cannot be met. */
  private queueRefusal(attempt: Attempt): OutcomeReason | undefined {
    const size = [...this.slots.values()].reduce((sum, slots) => sum + slots.size, 0);
    if (size === 0) return 'no-target';
    if (this.queue.length >= this.queueLimit(size, this.meanSlotMilliseconds)) return 'queue-full';
    const ahead = this.queue.aheadOf(attempt.priority) + 1;
    const expectedWait = (ahead * this.meanSlotMilliseconds) / size;
    const remaining = attempt.deadline - this.options.clock.now();
    return expectedWait > remaining ? 'queue-deadline' : undefined;
  }

  private acquireSlot(attempt: Attempt, tried: readonly string[]): Grant | undefined {
    const isCrashSuspect = this.options.crashes.isSuspect(attempt.fingerprint);
    const slots = this.chooser.choose(attempt, { tried, isCrashSuspect });
    return slots === undefined ? undefined : this.grantSlot(slots, isCrashSuspect);
  }

  private grantSlot(slots: TargetSlots, isCrashSuspect: boolean): Grant {
    const release = slots.take(isCrashSuspect);
    return {
      slots,
      release: () => {
        release();
        this.queue.serve();
      },
    };
  }

  private recordSlotTime(milliseconds: number): void {
    this.meanSlotMilliseconds += SLOT_TIME_WEIGHT * (milliseconds - this.meanSlotMilliseconds);
  }

  private refuse(reason: OutcomeReason, detail: string): AttemptResult {
    this.options.counters.add('keeper_refusals', reason);
    return refusal(reason, detail, this.load());
  }
}
