/**
 * The requests that all daemons of this region counted against quotas, as one of them reports them to
 * the other regions: in rounds, and at once for a workspace whose use differs from what the others
 * expect by its last report. Every daemon takes the rounds, so that any can go on when the reporting
 * one fails.
 */
import type { WorkspaceUse } from '../fleet/PeerMessage.js';
import UseCounts from './UseCounts.js';
import UseSeries from './UseSeries.js';

/** A report is repeated in the rounds of this time, in case it was lost. */
const REPEAT_MILLISECONDS = 1_200;
/** Requests by which the use may differ from the expected, and the part of the expected in addition. */
const TOLERANCE = 4;
const TOLERANCE_FRACTION = 0.25;

/** What the other regions know of a workspace by the reports that were sent. */
interface ReportedUse {
  readonly series: UseSeries;
  changedAt: number;
}

export default class RegionUseReports {
  private readonly counts = new UseCounts();

  private readonly recent = new Map<string, ReportedUse>();

  private readonly urgent = new Set<string>();

  constructor(private readonly incarnation: number) {}

  public add(workspace: string, requests: number, now: number): void {
    this.counts.add(workspace, requests, now);
    const reported = this.recent.get(workspace) ?? { series: new UseSeries(), changedAt: now };
    reported.changedAt = now;
    this.recent.set(workspace, reported);
    const expected = reported.series.expectedSoFar(now);
    const isUnexpected =
      this.counts.unreported(workspace) - expected > TOLERANCE + TOLERANCE_FRACTION * expected;
    if (isUnexpected) this.urgent.add(workspace);
  }

  /** The uses that are reported in a round: all that changed lately. */
  public takeRound(now: number): readonly WorkspaceUse[] {
    [...this.recent]
      .filter(([, { changedAt }]) => now - changedAt > REPEAT_MILLISECONDS)
      .forEach(([workspace]) => this.recent.delete(workspace));
    return this.take([...this.recent.keys()], now);
  }

  /** The uses that are reported between rounds. */
  public takeUrgent(now: number): readonly WorkspaceUse[] {
    return this.take([...this.urgent], now);
  }

  public forgetOld(now: number): void {
    this.counts.forgetOld(now);
  }

  private take(workspaces: readonly string[], now: number): readonly WorkspaceUse[] {
    const reporter = { name: '', incarnation: this.incarnation };
    return workspaces.map((workspace) => {
      this.urgent.delete(workspace);
      const use = this.counts.report(workspace, now);
      this.recent.get(workspace)?.series.apply(reporter, use, now);
      return use;
    });
  }
}
