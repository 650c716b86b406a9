/**
 * Guards against a waiting request that is left alone: when a report is lost, when its caller leaves,
 * or when this daemon loses its links; and against labels without bound.
 */
import { Counters, createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import type { AdmissionQuery } from '../../admission/AdmissionQuery.js';
import RequestAdmission from '../../admission/RequestAdmission.js';
import type { Room } from '../../admission/Room.js';
import createAdmissionQuery, { FULL_ROOM } from './createAdmissionQuery.js';

describe('RequestAdmission', () => {
  let clock: ManualClock;
  let counters: Counters;
  let lines: string[];
  let room: Room;
  let admission: RequestAdmission;
  let results: string[];

  beforeEach(() => {
    clock = new ManualClock();
    counters = new Counters();
    lines = [];
    results = [];
    room = FULL_ROOM;
    admission = new RequestAdmission({
      rooms: { roomOf: () => room, hasFreeSlot: () => room.freeSlots > 0 },
      clock,
      random: createRandom(1),
      counters,
      logger: { ...silentLogger, info: (event) => lines.push(event) },
    });
  });

  function ask(query: Partial<AdmissionQuery> = {}): Promise<void> {
    return admission
      .admit(createAdmissionQuery({ deadline: clock.now() + 10_000, ...query }))
      .then(({ kind }) => {
        results.push(kind);
      });
  }

  it('admits at once beside a free slot', async () => {
    room = { ...FULL_ROOM, freeSlots: 1 };
    await ask();
    expect(results).toEqual(['admitted']);
    expect(counters.readings()).toEqual([]);
  });

  it('looks again on a timer, so that a lost report does not matter', async () => {
    const asked = ask();
    await clock.advance(100);
    expect(results).toEqual([]);
    room = { ...FULL_ROOM, freeSlots: 1 };
    await clock.advance(20);
    await asked;
    expect(results).toEqual(['admitted']);
    expect(counters.valueOf('admission_waited', 'priority-0')).toBe(1);
  });

  it('looks again when a request of this daemon ends', async () => {
    const asked = ask();
    room = { ...FULL_ROOM, freeSlots: 1 };
    admission.recheck('s');
    await asked;
    expect(results).toEqual(['admitted']);
  });

  it('lets requests go on when this daemon is cut off from targets', async () => {
    const asked = ask();
    room = { ...FULL_ROOM, isOpen: true };
    await clock.advance(20);
    await asked;
    expect(results).toEqual(['admitted']);
  });

  it('ends with its caller', async () => {
    const caller = new AbortController();
    const asked = ask({ signal: caller.signal });
    caller.abort();
    await asked;
    expect(results).toEqual(['cancelled']);
    await clock.advance(5_000);
    expect(results).toHaveLength(1);
  });

  it('refuses at once what cannot be served, with a time to return', async () => {
    const result = await admission.admit(createAdmissionQuery({ deadline: 300 }));
    expect(result.kind).toBe('refused');
    const { freeInMilliseconds } = result as { freeInMilliseconds: number };
    expect(freeInMilliseconds).toBeGreaterThan(0);
    expect(freeInMilliseconds).toBeLessThanOrEqual(100);
  });

  it('bounds the labels of its counters and the lines of its log', async () => {
    const indices = Array.from({ length: 150 }, (_, index) => index);
    await Promise.all(
      indices.map((index) => ask({ priority: index, workspace: `w${index}`, deadline: 300 })),
    );
    const labels = (name: string) => counters.readings().filter((reading) => reading.name === name);
    expect(labels('admission_refused_by_workspace')).toHaveLength(101);
    expect(labels('admission_refused')).toHaveLength(9);
    expect(lines.filter((event) => event === 'request-unplaced')).toHaveLength(150);
    expect(lines.filter((event) => event !== 'request-unplaced')).toEqual(['service-overloaded']);
  });
});
