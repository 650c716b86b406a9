/**
 * The requests that this daemon counted against quotas, as it reports them to the other daemons of its
 * region. A later report of a workspace repeats the earlier ones; the last of a series is sent twice.
 */
import type { UseReport } from '../fleet/PeerMessage.js';
import UseCounts from './UseCounts.js';

/** Time after which the last report of a workspace is repeated, in case it was lost. */
const REPEAT_MILLISECONDS = 500;

export default class PeerUseReports {
  private readonly counts = new UseCounts();

  /** Workspaces with requests that were not reported. */
  private readonly pending = new Set<string>();

  /** Monotonic time at which each report is repeated, in order. */
  private readonly repeatAt = new Map<string, number>();

  constructor(private readonly incarnation: number) {}

  public add(workspace: string, now: number): void {
    this.counts.add(workspace, 1, now);
    this.pending.add(workspace);
  }

  /** Whether there is something to report. */
  public isDue(now: number): boolean {
    if (this.pending.size > 0) return true;
    const [earliest] = this.repeatAt.values();
    return earliest !== undefined && earliest <= now;
  }

  /** The report that is due; undefined if there is nothing to report. */
  public take(now: number): UseReport | undefined {
    if (!this.isDue(now)) return undefined;
    const repeated = [...this.repeatAt]
      .filter(([workspace, at]) => at <= now && !this.pending.has(workspace))
      .map(([workspace]) => workspace);
    const fresh = [...this.pending];
    this.pending.clear();
    [...repeated, ...fresh].forEach((workspace) => this.repeatAt.delete(workspace));
    fresh.forEach((workspace) => this.repeatAt.set(workspace, now + REPEAT_MILLISECONDS));
    const uses = [...repeated, ...fresh].map((workspace) => this.counts.report(workspace, now));
    return { incarnation: this.incarnation, uses };
  }

  public forgetOld(now: number): void {
    this.counts.forgetOld(now);
  }
}
