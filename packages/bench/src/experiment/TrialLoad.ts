/** Sends the requests of a trial and counts their results. */
import type { ManualClock, Random } from '@cactusrun/core';
import type { AttemptResult, ShardKeeper } from '@cactusrun/requests';
import { modelAttempt } from './modelService.js';
import type { TrialShape } from './runTrial.js';

export const CALLER_ZONES = ['zone-a', 'zone-b'];
/** An answer is late after this multiple of the mean work duration. */
const LATE_FACTOR = 10;

export default class TrialLoad {
  public requests = 0;

  public lost = 0;

  public late = 0;

  constructor(
    private readonly keeper: ShardKeeper,
    private readonly clock: ManualClock,
    private readonly random: Random,
    private readonly shape: TrialShape,
  ) {}

  public sendOne(): void {
    const startedAt = this.clock.now();
    const requestNumber = this.requests;
    this.requests += 1;
    const zone = CALLER_ZONES[this.random.below(CALLER_ZONES.length)] ?? '';
    const attempt = modelAttempt(requestNumber, zone, startedAt + this.shape.deadlineMilliseconds);
    this.keeper.run(attempt).then((result) => this.recordResult(result, startedAt));
  }

  private recordResult(result: AttemptResult, startedAt: number): void {
    if (result.kind === 'refused') {
      this.lost += 1;
      return;
    }
    result.body.resume();
    const lateAfterMilliseconds = this.shape.workMilliseconds * LATE_FACTOR;
    if (this.clock.now() - startedAt > lateAfterMilliseconds) this.late += 1;
  }
}
