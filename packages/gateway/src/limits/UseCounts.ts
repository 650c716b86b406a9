/** Cumulative counts of requests by workspace, and what of them was reported last. */
import type { WorkspaceUse } from '../fleet/PeerMessage.js';
import Sweep from './Sweep.js';

/** A count that did not change for this long is forgotten; receivers take a lower one as new. */
const RETENTION_MILLISECONDS = 60_000;
const SWEEP_SIZE = 500;

/** The recent uses are those of this time, or up to twice as long. */
const RECENT_MILLISECONDS = 1_000;

interface UseCount {
  count: number;
  reported: number;
  /** The counts at the last two times that are at least the above apart; the later one first. */
  marks: readonly [number, number];
  markedAt: number;
  /** Monotonic time of the last change. */
  changedAt: number;
}

export default class UseCounts {
  private readonly counts = new Map<string, UseCount>();

  private sweptAt = 0;

  private readonly sweep = new Sweep(
    this.counts,
    ({ changedAt }) => this.sweptAt - changedAt < RETENTION_MILLISECONDS,
  );

  public add(workspace: string, requests: number, now: number): void {
    const marks = [0, 0] as const;
    const first = { count: 0, reported: 0, marks, markedAt: now, changedAt: now };
    const known: UseCount = this.counts.get(workspace) ?? first;
    mark(known, now);
    known.count += requests;
    known.changedAt = now;
    this.counts.set(workspace, known);
  }

  /** Requests that were not reported. */
  public unreported(workspace: string): number {
    const { count = 0, reported = 0 } = this.counts.get(workspace) ?? {};
    return count - reported;
  }

  /** The count of a workspace, which is taken as reported. */
  public report(workspace: string, now: number): WorkspaceUse {
    const known = this.counts.get(workspace);
    if (known === undefined) return { workspace, count: 0, recent: 0 };
    mark(known, now);
    known.reported = known.count;
    return { workspace, count: known.count, recent: known.count - known.marks[1] };
  }

  /** Forgets some counts that have not changed for long. */
  public forgetOld(now: number): void {
    this.sweptAt = now;
    this.sweep.step(SWEEP_SIZE);
  }
}

/** Moves the marks on when they are old enough. */
function mark(known: UseCount, now: number): void {
  const age = now - known.markedAt;
  if (age < RECENT_MILLISECONDS) return;
  const later = age < 2 * RECENT_MILLISECONDS ? known.marks[0] : known.count;
  Object.assign(known, { marks: [known.count, later], markedAt: now });
}
