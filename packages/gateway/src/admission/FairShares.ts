/**
 * Orders the requests of workspaces fairly: start-time fair queueing, weighted by what each
 * workspace usually has admitted. A workspace that suddenly sends many times its usual gets ahead of
 * its share and comes after the others; large and small ones that send their usual are served alike.
 */
import DecayingCount from './DecayingCount.js';

/** Time constant of the usual use: a burst of some seconds hardly changes it. */
const USAGE_DECAY_MILLISECONDS = 60_000;
/** Least weight of a workspace relative to the mean, so that new ones have a share. */
const MINIMUM_WEIGHT = 0.25;
/** Beyond this number, workspaces that sent nothing lately are forgotten. */
const MAXIMUM_ACCOUNTS = 2_000;
const FORGETTABLE_USAGE = 0.1;
/** The account of requests without a workspace. */
const NO_WORKSPACE = '';

interface Account {
  /** Virtual time at which the next request of the workspace may start. */
  readonly nextStart: number;
  readonly usage: DecayingCount;
}

/** The place of one request in virtual time. */
export interface FairTag {
  readonly workspace: string;
  readonly start: number;
  readonly length: number;
}

export default class FairShares {
  private virtualTime = 0;

  private readonly accounts = new Map<string, Account>();

  private readonly totalUsage = new DecayingCount(USAGE_DECAY_MILLISECONDS);

  /** Gives a request its place. */
  public reserve(workspace: string | undefined, now: number): FairTag {
    const name = workspace ?? NO_WORKSPACE;
    const account = this.accounts.get(name) ?? this.createAccount(now);
    const start = Math.max(this.virtualTime, account.nextStart);
    const length = 1 / this.weightOf(account, now);
    this.accounts.set(name, { ...account, nextStart: start + length });
    return { workspace: name, start, length };
  }

  /** Gives back the place of a request that was not served. */
  public release({ workspace, length }: FairTag): void {
    const account = this.accounts.get(workspace);
    if (account === undefined) return;
    this.accounts.set(workspace, { ...account, nextStart: account.nextStart - length });
  }

  /** Records that a request is admitted. */
  public recordAdmitted({ workspace, start }: FairTag, now: number): void {
    this.virtualTime = Math.max(this.virtualTime, start);
    this.accounts.get(workspace)?.usage.add(now);
    this.totalUsage.add(now);
  }

  private weightOf({ usage }: Account, now: number): number {
    const mean = this.totalUsage.at(now) / Math.max(1, this.accounts.size);
    return Math.max(MINIMUM_WEIGHT, (usage.at(now) + 1) / (mean + 1));
  }

  private createAccount(now: number): Account {
    if (this.accounts.size >= MAXIMUM_ACCOUNTS) {
      [...this.accounts]
        .filter(([, { usage }]) => usage.at(now) < FORGETTABLE_USAGE)
        .forEach(([name]) => this.accounts.delete(name));
    }
    return { nextStart: 0, usage: new DecayingCount(USAGE_DECAY_MILLISECONDS) };
  }
}
