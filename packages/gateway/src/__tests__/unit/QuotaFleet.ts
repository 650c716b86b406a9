/** A fleet of daemons that share quotas over unreliable links, in simulated time, for tests. */
import type { Random } from '@cactusrun/core';
import { Counters, ManualClock, silentLogger } from '@cactusrun/core';
import { DEFAULT_QUOTA_BOUNDS } from '../../limits/QuotaBounds.js';
import QuotaRefusals from '../../limits/QuotaRefusals.js';
import RateLimitShare from '../../limits/RateLimitShare.js';
import WorkspaceQuotas from '../../limits/WorkspaceQuotas.js';
import type { RequestQuota } from '../../workspaces/Workspace.js';

export const ZONES = ['a', 'b', 'c', 'd'] as const;
export const ENTRIES_PER_ZONE = 3;
const REGIONS: Readonly<Record<string, string>> = { a: 'west', b: 'west', c: 'east', d: 'east' };
export const STEP_MILLISECONDS = 10;
const REPORT_MILLISECONDS = 4;
const HEARTBEAT_MILLISECONDS = 600;
const MEMBER_TIMEOUT_MILLISECONDS = 2_400;
const ROUND_MILLISECONDS = 480;
const URGENT_MILLISECONDS = 120;
const KEEP_ALIVE_MILLISECONDS = 240;

interface FleetDaemon {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  quotas: WorkspaceQuotas;
  incarnation: number;
  /** Time of the last message of each member of its region. */
  heardAt: Map<string, number>;
}

type Connection = (one: FleetDaemon, other: FleetDaemon) => boolean;

export interface LinkFaults {
  readonly loss: number;
  readonly repeated: number;
  readonly lateMilliseconds: number;
}

export const NO_FAULTS: LinkFaults = { loss: 0, repeated: 0, lateMilliseconds: 0 };

export default class QuotaFleet {
  public readonly clock = new ManualClock();

  public readonly daemons: readonly FleetDaemon[];

  /** Times at which requests were sent on to targets. */
  public readonly sentAt: number[] = [];

  public refused = 0;

  public faults = NO_FAULTS;

  /** Whether two daemons reach each other. */
  public isConnected: Connection = () => true;

  private deliveries: { readonly at: number; readonly run: () => void }[] = [];

  constructor(
    private readonly random: Random,
    public quota: RequestQuota,
  ) {
    this.daemons = ZONES.flatMap((zone) =>
      Array.from({ length: ENTRIES_PER_ZONE }, (_, index): FleetDaemon => {
        const name = `${zone}${index}`;
        const region = REGIONS[zone]!;
        const heardAt = new Map<string, number>();
        const daemon = { name, zone, region, incarnation: 1, heardAt };
        return Object.assign(daemon, { quotas: this.createQuotas(daemon) });
      }),
    );
  }

  /** Changes which daemons reach each other. */
  public connect(isConnected: Connection): void {
    this.isConnected = isConnected;
  }

  /** All processes end and start again, and know nothing. */
  public restart(): void {
    this.deliveries = [];
    this.daemons.forEach((daemon) => {
      Object.assign(daemon, { incarnation: daemon.incarnation + 1 });
      daemon.heardAt.clear();
      Object.assign(daemon, { quotas: this.createQuotas(daemon) });
    });
  }

  /** A request of the workspace arrives at a daemon; returns whether it was sent on. */
  public request({ quotas }: FleetDaemon): boolean {
    const workspace = { name: 'w', priority: undefined, quota: this.quota };
    if (quotas.check(workspace).kind !== 'free') {
      this.refused += 1;
      return false;
    }
    quotas.record(workspace);
    this.sentAt.push(this.clock.now());
    return true;
  }

  /** Runs for one step of time. */
  public step(): void {
    this.clock.pause(STEP_MILLISECONDS);
    const now = this.clock.now();
    const due = this.deliveries.filter(({ at }) => at <= now);
    this.deliveries = this.deliveries.filter(({ at }) => at > now);
    due.forEach(({ run }) => run());
    if (now % HEARTBEAT_MILLISECONDS === 0) this.daemons.forEach((one) => this.sendToRegion(one));
    this.daemons.forEach((daemon) => this.report(daemon));
    if (now % ROUND_MILLISECONDS === 0) this.reportRegions('round');
    else if (now % URGENT_MILLISECONDS === 0) this.reportRegions('urgent');
  }

  /** The most requests that were sent on in any window. */
  public countMostInWindow(): number {
    const { windowMilliseconds } = DEFAULT_QUOTA_BOUNDS;
    let first = 0;
    return this.sentAt.reduce((most, at, index) => {
      while (this.sentAt[first]! <= at - windowMilliseconds) first += 1;
      return Math.max(most, index - first + 1);
    }, 0);
  }

  private createQuotas(daemon: Omit<FleetDaemon, 'quotas'>): WorkspaceQuotas {
    const { clock } = this;
    const isHeard = (at: number) => clock.now() - at <= MEMBER_TIMEOUT_MILLISECONDS;
    const times = () => [...daemon.heardAt.values()];
    const share = new RateLimitShare({
      region: daemon.region,
      regions: REGIONS,
      members: {
        countLive: () => times().filter(isHeard).length,
        countRecentlyLost: () => times().filter((at) => !isHeard(at)).length,
      },
      directory: { isEntry: () => true },
    });
    return new WorkspaceQuotas({
      bounds: DEFAULT_QUOTA_BOUNDS,
      regions: 2,
      share,
      entryNames: () => [...daemon.heardAt].filter(([, at]) => isHeard(at)).map(([name]) => name),
      incarnation: daemon.incarnation,
      refusals: new QuotaRefusals(clock, new Counters(), silentLogger),
      clock,
    });
  }

  private report(daemon: FleetDaemon): void {
    const use = daemon.quotas.takeReport();
    if (use === undefined) return;
    this.sendToRegion(daemon, (receiver) => receiver.quotas.applyReport(daemon.name, use));
  }

  private sendToRegion(sender: FleetDaemon, apply: (receiver: FleetDaemon) => void = () => {}) {
    this.daemons
      .filter((other) => other !== sender && other.region === sender.region)
      .forEach((receiver) => {
        this.send(sender, receiver, REPORT_MILLISECONDS, () => {
          receiver.heardAt.set(sender.name, this.clock.now());
          receiver.quotas.recordHeard(sender.name);
          apply(receiver);
        });
      });
  }

  /** In each part of a region that is connected, the first daemon reports. */
  private reportRegions(kind: 'round' | 'urgent'): void {
    const isKeepAlive = this.clock.now() % KEEP_ALIVE_MILLISECONDS === 0;
    this.daemons.forEach((daemon, index) => {
      const uses = daemon.quotas.takeRegionUses(kind);
      const isFirst = !this.daemons
        .slice(0, index)
        .some((other) => other.region === daemon.region && this.isConnected(other, daemon));
      if (!isFirst || (kind === 'urgent' && uses.length === 0 && !isKeepAlive)) return;
      const reporter = { name: daemon.name, incarnation: daemon.incarnation };
      const part = daemon.quotas.regionPart;
      this.daemons
        .filter(({ region }) => region !== daemon.region)
        .forEach((receiver) => {
          this.send(daemon, receiver, 2 * REPORT_MILLISECONDS, () =>
            receiver.quotas.applyRegionReport({ region: daemon.region, reporter, part, uses }),
          );
        });
    });
  }

  private send(from: FleetDaemon, to: FleetDaemon, milliseconds: number, run: () => void): void {
    if (!this.isConnected(from, to) || this.random.unit() < this.faults.loss) return;
    const copies = this.random.unit() < this.faults.repeated ? 2 : 1;
    Array.from({ length: copies }).forEach(() => {
      const late = this.faults.lateMilliseconds * this.random.unit();
      this.deliveries.push({ at: this.clock.now() + milliseconds + late, run });
    });
  }
}
