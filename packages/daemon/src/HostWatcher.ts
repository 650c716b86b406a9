/** Polls the platform's host list for daemons to join and upstream hosts that are leaving. */
import type { Clock, Counters, Random, Stop } from '@cactusrun/core';
import { repeatUntilAborted, startTask } from '@cactusrun/core';
import type { HostList, ListedHost } from '@cactusrun/platform';

const MINIMUM_PERIOD_MILLISECONDS = 2_000;
/** Limits the reads of the whole fleet to about 100 per second, whatever its size. */
const PERIOD_PER_MEMBER_MILLISECONDS = 10;

export interface HostWatcherOptions {
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  /** Number of daemons in the fleet that this daemon knows of. */
  readonly memberCount: () => number;
}

export default class HostWatcher {
  /** The last list that was read, kept while the platform is unreachable. */
  private hosts: readonly ListedHost[] = [];

  constructor(private readonly options: HostWatcherOptions) {}

  /** Polls the list until the returned function is called. */
  public start(): Stop {
    const { clock, random, counters } = this.options;
    return startTask(
      (signal) =>
        repeatUntilAborted(signal, async () => {
          await this.readOnce();
          const scaled = PERIOD_PER_MEMBER_MILLISECONDS * this.options.memberCount();
          const period = Math.max(MINIMUM_PERIOD_MILLISECONDS, scaled);
          await clock.sleep(period * (0.75 + random.unit() / 2), signal);
        }),
      () => counters.add('host_list', 'task-failed'),
    );
  }

  /** Heartbeat addresses of the listed entry hosts (hosts that callers are directed to). */
  public entryAddresses(): readonly string[] {
    return this.hosts.filter(({ kind }) => kind === 'entry').map(({ address }) => address);
  }

  /** Whether the upstream host at the address is listed as leaving. */
  public isLeaving(address: string): boolean {
    return this.hosts.some(
      (host) => host.kind === 'upstream' && host.state === 'leaving' && host.address === address,
    );
  }

  private async readOnce(): Promise<void> {
    const { hostList, counters } = this.options;
    try {
      this.hosts = await hostList.list();
      counters.add('host_list', 'read');
    } catch {
      counters.add('host_list', 'failed');
    }
  }
}
