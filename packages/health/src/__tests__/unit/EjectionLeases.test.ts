import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import type { ConfigurationState, LogRecord } from '@cactusrun/configuration';
import { EMPTY_STATE, encodeRecord, foldEntry, targetKey } from '@cactusrun/configuration';
import type { Contract } from '@cactusrun/core';
import { Counters, ManualClock, silentLogger } from '@cactusrun/core';
import EjectionLeases, { EJECTION_LEASE_MILLISECONDS } from '../../EjectionLeases.js';
import type { EjectionLeaseLog } from '../../EjectionLeases.js';

const SERVICE = 'stock';
const TARGETS = ['t0', 't1', 't2', 't3'];
const FLOOR_PERCENT = 75;
const BUDGET = 1;

/** A log shared by several daemons; each applies it up to its own read position. */
class SharedLog {
  private states: ConfigurationState[] = [EMPTY_STATE];

  public isDown = false;

  constructor(private readonly clock: ManualClock) {
    this.append({
      kind: 'change',
      identity: 'create',
      author: '',
      baseRevision: -1,
      operations: [
        {
          kind: 'create-contract',
          contract: {
            service: SERVICE,
            region: 'west',
            slotsPerTarget: 2,
            floorPercent: FLOOR_PERCENT,
            targets: TARGETS.map((name, index) => ({
              name,
              address: `127.0.1.${index}:9000`,
              zone: 'west-a',
            })),
            routes: [],
          } as unknown as Contract,
        },
      ],
    });
  }

  public get latest(): number {
    return this.states.length - 1;
  }

  public append(record: LogRecord): number {
    if (this.isDown) throw new Error('down');
    const before = this.states.at(-1)!;
    const entry = {
      offset: before.offset + 1,
      timestamp: this.clock.wallNow(),
      data: encodeRecord(record),
    };
    this.states.push(foldEntry(before, entry));
    return entry.offset;
  }

  public readBy(reader: { position: number }, holder: string): EjectionLeaseLog {
    return {
      claim: async (service, target, leaseMilliseconds) => {
        this.append({
          kind: 'ejection-claim',
          service,
          target,
          holder,
          leaseMilliseconds,
          otherwiseUnavailable: [],
        });
      },
      renew: async (leaseMilliseconds) =>
        this.append({ kind: 'ejection-renewal', holder, leaseMilliseconds }),
      release: async (service, target) => {
        this.append({ kind: 'ejection-return', service, target, holder });
      },
      view: (service, target) =>
        this.states[reader.position]!.claims.get(targetKey(service, target)),
      appliedOffset: () => this.states[reader.position]!.offset,
    };
  }
}

function createHolder(log: SharedLog, clock: ManualClock, holder: string) {
  const reader = { position: 1 };
  const leases = new EjectionLeases({
    holder,
    log: log.readBy(reader, holder),
    clock,
    counters: new Counters(),
    logger: silentLogger,
  });
  const read = () => {
    reader.position = log.latest;
  };
  return { leases, read };
}

describe('EjectionLeases', () => {
  let clock: ManualClock;
  let log: SharedLog;

  beforeEach(() => {
    clock = new ManualClock();
    log = new SharedLog(clock);
  });

  it('ejects only when the log shows that the lease was granted', async () => {
    const { leases, read } = createHolder(log, clock, 'one');
    await leases.claim(SERVICE, 't0', []);
    expect(leases.isEjected(SERVICE, 't0')).toBe(false);
    read();
    expect(leases.isEjected(SERVICE, 't0')).toBe(true);
  });

  it('does not eject after a pause longer than the lease', async () => {
    const { leases, read } = createHolder(log, clock, 'one');
    await leases.claim(SERVICE, 't0', []);
    read();
    clock.pause(EJECTION_LEASE_MILLISECONDS);
    expect(leases.isEjected(SERVICE, 't0')).toBe(false);
  });

  it('extends a lease by renewal, and loses it when the platform is unreachable', async () => {
    const { leases, read } = createHolder(log, clock, 'one');
    await leases.claim(SERVICE, 't0', []);
    read();
    const renewals = Array.from({ length: 5 }).reduce<Promise<void>>(async (before) => {
      await before;
      clock.pause(5_000);
      await leases.renew();
      read();
      leases.confirm();
      expect(leases.isEjected(SERVICE, 't0')).toBe(true);
    }, Promise.resolve());
    await renewals;
    log.isDown = true;
    clock.pause(10_000);
    await leases.renew();
    expect(leases.isEjected(SERVICE, 't0')).toBe(true);
    clock.pause(5_000);
    expect(leases.isEjected(SERVICE, 't0')).toBe(false);
  });

  it('does not extend a lease when the renewal is appended after its expiry', async () => {
    const one = createHolder(log, clock, 'one');
    const two = createHolder(log, clock, 'two');
    await one.leases.claim(SERVICE, 't0', []);
    one.read();
    clock.pause(EJECTION_LEASE_MILLISECONDS - 1);
    const renewing = one.leases.renew();
    clock.pause(10_000);
    await renewing;
    await two.leases.claim(SERVICE, 't1', []);
    two.read();
    one.leases.confirm();
    expect(one.leases.isEjected(SERVICE, 't0')).toBe(false);
  });

  it('loses a lease that a raised floor revoked', async () => {
    const { leases, read } = createHolder(log, clock, 'one');
    await leases.claim(SERVICE, 't0', []);
    read();
    log.append({
      kind: 'change',
      identity: 'raise',
      author: '',
      baseRevision: 0,
      operations: [{ kind: 'change-contract', service: SERVICE, patch: { floorPercent: 100 } }],
    });
    read();
    expect(leases.isEjected(SERVICE, 't0')).toBe(false);
  });

  it('never exceeds the ejection budget when daemons are paused, disconnected or lagging', async () => {
    const step = fc.record({
      action: fc.constantFrom('claim', 'return', 'renew', 'read', 'confirm', 'wait', 'down', 'up'),
      holder: fc.nat(2),
      target: fc.nat(TARGETS.length - 1),
      seconds: fc.nat(12),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 80 }), async (steps) => {
        const time = new ManualClock();
        const shared = new SharedLog(time);
        const holders = ['a', 'b', 'c'].map((name) => createHolder(shared, time, name));
        await steps.reduce<Promise<void>>(async (before, { action, holder, target, seconds }) => {
          await before;
          const { leases, read } = holders[holder]!;
          const name = TARGETS[target]!;
          if (action === 'claim') await leases.claim(SERVICE, name, []);
          if (action === 'return') await leases.release(SERVICE, name);
          if (action === 'renew') await leases.renew();
          if (action === 'read') read();
          if (action === 'confirm') leases.confirm();
          if (action === 'wait') time.pause(seconds * 1_000);
          if (action === 'down' || action === 'up') shared.isDown = action === 'down';
          const ejected = new Set(
            holders.flatMap((each) =>
              TARGETS.filter((candidate) => each.leases.isEjected(SERVICE, candidate)),
            ),
          );
          expect(ejected.size).toBeLessThanOrEqual(BUDGET);
        }, Promise.resolve());
      }),
      { seed: 29, numRuns: 1_000 },
    );
  });
});
