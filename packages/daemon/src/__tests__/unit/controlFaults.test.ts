import { describe, expect, it } from 'vitest';
import type { ChangeAnswer } from '../../ChangeService.js';
import FakeControlFleet from './FakeControlFleet.js';
import type FakeLog from './FakeLog.js';

const HOSTS = 6;
const FAULT_MILLISECONDS = 20_000;
const HEALED_MILLISECONDS = 60_000;

const CREATE = `CREATE CONTRACT stock { REGION west; SLOTS PER TARGET 2;
  TARGET a AT 127.0.1.1:9000 IN west-a; ROUTE GET "/stock" idempotent; }`;
const changeFloor = (percent: number) => `CHANGE CONTRACT stock { FLOOR ${percent}%; }`;

type Step = (fleet: FakeControlFleet) => Promise<void> | void;

interface Fault {
  readonly begin: Step;
  readonly end: Step;
}

function setLog(patch: Partial<FakeLog>): Step {
  return ({ log }) => {
    Object.assign(log, patch);
  };
}

const PLATFORM_FAULTS: Readonly<Record<string, Fault>> = {
  works: { begin: () => {}, end: () => {} },
  'is slow': {
    begin: setLog({ delayMilliseconds: 800 }),
    end: setLog({ delayMilliseconds: 1 }),
  },
  'is down': {
    begin: setLog({ isDown: true }),
    end: setLog({ isDown: false }),
  },
  'loses replies': {
    begin: setLog({ losesReplies: true }),
    end: setLog({ losesReplies: false }),
  },
  'is down and comes back empty': {
    begin: setLog({ isDown: true }),
    end: ({ log }) => {
      log.dropAll();
      Object.assign(log, { isDown: false });
    },
  },
  'drops its records': {
    begin: async (fleet) => {
      await fleet.clock.advance(10_000);
      fleet.log.dropAll();
    },
    end: () => {},
  },
  'is unreachable for half the hosts': {
    begin: ({ log }) => [0, 2, 4].forEach((index) => log.isolated.add(`host-${index}`)),
    end: ({ log }) => log.isolated.clear(),
  },
};

async function replace(fleet: FakeControlFleet, index: number): Promise<void> {
  await fleet.kill(index);
  fleet.addNode(index);
  await fleet.clock.advance(6_000);
}

const HOST_FAULTS: Readonly<Record<string, Fault>> = {
  'all hosts stay': { begin: () => {}, end: () => {} },
  'one host is replaced': { begin: (fleet) => replace(fleet, 3), end: () => {} },
  'all hosts but one are replaced one by one': {
    begin: (fleet) =>
      [0, 2, 3, 4, 5].reduce<Promise<void>>(
        (before, index) => before.then(() => replace(fleet, index)),
        Promise.resolve(),
      ),
    end: () => {},
  },
  'a zone is lost': {
    begin: async (fleet) => {
      await fleet.kill(0);
      await fleet.kill(4);
    },
    end: (fleet) => {
      fleet.addNode(0);
      fleet.addNode(4);
    },
  },
  'the regions are partitioned': {
    begin: (fleet) => fleet.partition([0, 1, 4, 5], [2, 3], false),
    end: ({ blocked }) => blocked.clear(),
  },
  'messages pass between the regions in one direction only': {
    begin: (fleet) => fleet.partition([0, 1, 4, 5], [2, 3], true),
    end: ({ blocked }) => blocked.clear(),
  },
  'a host is paused and resumes': {
    begin: ({ paused }) => {
      paused.add('host-2');
    },
    end: ({ paused }) => paused.clear(),
  },
};

const CASES = Object.keys(PLATFORM_FAULTS).flatMap((platform) =>
  Object.keys(HOST_FAULTS).map((hosts) => ({ platform, hosts })),
);

function expectNeverReverted(fleet: FakeControlFleet): void {
  fleet.nodes.forEach(({ revisions }) => {
    const sorted = [...revisions].sort((left, right) => left - right);
    expect(revisions).toEqual(sorted);
  });
}

function expectAgreement(fleet: FakeControlFleet): void {
  const states = [...fleet.nodes.values()].map(({ store }) => store.current);
  const [first] = states;
  states.forEach((state) => {
    expect(state.revision).toBe(first!.revision);
    expect(state.contracts).toEqual(first!.contracts);
  });
}

function expectVerdictKept(fleet: FakeControlFleet, identity: string, answer: ChangeAnswer): void {
  fleet.nodes.forEach(({ store }) => {
    const verdict = store.current.remembered.get(identity)?.verdict;
    if (answer.kind === 'accepted') expect(verdict).toMatchObject({ revision: answer.revision });
    if (answer.kind === 'not-accepted') expect(verdict).toBeUndefined();
  });
}

describe('configuration under faults', () => {
  it.each(CASES)('the platform $platform while $hosts', async ({ platform, hosts }) => {
    const fleet = new FakeControlFleet(1);
    await fleet.start(HOSTS);
    const created = await fleet.settle(fleet.change(1, 'create', CREATE));
    expect(created.kind).toBe('accepted');
    await fleet.clock.advance(2_000);

    await PLATFORM_FAULTS[platform]!.begin(fleet);
    await HOST_FAULTS[hosts]!.begin(fleet);
    const base = fleet.nodes.get(1)!.store.current.revision;
    const during = await fleet.settle(
      Promise.all([
        fleet.change(1, 'left', changeFloor(50)),
        fleet.nodes.has(3)
          ? fleet.change(3, 'right', changeFloor(60))
          : fleet.change(5, 'right', changeFloor(60)),
      ]),
    );
    await fleet.clock.advance(FAULT_MILLISECONDS);
    fleet.nodes.forEach(({ store }) => {
      if (store.isReady) expect(store.current.contracts.has('stock')).toBe(true);
    });
    await PLATFORM_FAULTS[platform]!.end(fleet);
    await HOST_FAULTS[hosts]!.end(fleet);
    await fleet.clock.advance(HEALED_MILLISECONDS);

    const accepted = during.filter(({ kind }) => kind === 'accepted');
    expect(accepted.length).toBeLessThanOrEqual(1);
    const refused = during.filter(
      (answer) => answer.kind === 'refused' && answer.reason === 'conflict',
    );
    if (refused.length > 0) {
      const [left, right] = during;
      const winner = left?.kind === 'refused' ? 'right' : 'left';
      expect(JSON.stringify(winner === 'right' ? left : right)).toContain(`change ${winner}`);
    }
    expectNeverReverted(fleet);
    expectAgreement(fleet);
    expectVerdictKept(fleet, 'create', created);
    expectVerdictKept(fleet, 'left', during[0]!);
    expectVerdictKept(fleet, 'right', during[1]!);

    const after = await fleet.settle(fleet.change(1, 'after', changeFloor(70)));
    expect(after.kind).toBe('accepted');
    await fleet.clock.advance(10_000);
    expectAgreement(fleet);
    fleet.nodes.forEach(({ store }) => {
      expect(store.current.contracts.get('stock')?.floorPercent).toBe(70);
      expect(store.current.revision).toBeGreaterThan(base);
    });
    await fleet.stop();
  });

  it('survives the retention of its records and the restart of every host', async () => {
    const fleet = new FakeControlFleet(11);
    await fleet.start(3);
    await fleet.settle(fleet.change(1, 'create', CREATE));
    const passMinute = async () => {
      await fleet.clock.advance(60_000);
      fleet.log.expire(120_000);
    };
    await Array.from({ length: 6 }).reduce<Promise<void>>(
      (before) => before.then(passMinute),
      Promise.resolve(),
    );
    expect(fleet.log.entries.length).toBeGreaterThan(0);
    expect(fleet.log.entries[0]!.offset).toBeGreaterThan(0);
    await fleet.stop();
    await fleet.start(3);
    await fleet.clock.advance(10_000);
    fleet.nodes.forEach(({ store }) => expect(store.current.contracts.has('stock')).toBe(true));
    await fleet.stop();
  });

  it('writes few snapshots when the log comes back empty, however many hosts there are', async () => {
    const fleet = new FakeControlFleet(13);
    await fleet.start(30);
    await fleet.settle(fleet.change(1, 'create', CREATE));
    Object.assign(fleet.log, { isDown: true });
    await fleet.clock.advance(30_000);
    fleet.log.dropAll();
    Object.assign(fleet.log, { isDown: false });
    await fleet.clock.advance(20_000);
    const written = [...fleet.nodes.values()].reduce(
      (sum, { counters }) => sum + counters.valueOf('snapshots', 'written'),
      0,
    );
    expect(written).toBeGreaterThan(0);
    expect(written).toBeLessThanOrEqual(30 / 5);
    await fleet.stop();
  });

  it('accepts changes after the log lost records that no host had read', async () => {
    const fleet = new FakeControlFleet(12);
    await fleet.start(3);
    await fleet.settle(fleet.change(1, 'create', CREATE));
    await fleet.clock.advance(2_000);
    [0, 1, 2].forEach((index) => fleet.log.isolated.add(`host-${index}`));
    await fleet.clock.advance(6_000);
    fleet.log.append('{"kind":"change","identity":"lost"}');
    fleet.log.dropAll();
    fleet.log.isolated.clear();
    await fleet.clock.advance(60_000);
    const answer = await fleet.settle(fleet.change(1, 'after', changeFloor(55)));
    expect(answer.kind).toBe('accepted');
    await fleet.clock.advance(10_000);
    expectAgreement(fleet);
    expectNeverReverted(fleet);
    fleet.nodes.forEach(({ store }) =>
      expect(store.current.contracts.get('stock')?.floorPercent).toBe(55),
    );
    await fleet.stop();
  });

  it('leaves a host that reaches neither log nor peers not ready', async () => {
    const fleet = new FakeControlFleet(2);
    fleet.log.isDown = true;
    fleet.addNode(0);
    await fleet.clock.advance(30_000);
    expect(fleet.nodes.get(0)!.store.isReady).toBe(false);
    fleet.log.isDown = false;
    await fleet.clock.advance(10_000);
    expect(fleet.nodes.get(0)!.store.isReady).toBe(true);
    await fleet.kill(0);
  });

  it('answers not-accepted to a change while the platform is unreachable', async () => {
    const fleet = new FakeControlFleet(3);
    await fleet.start(3);
    fleet.log.isDown = true;
    const answer = await fleet.settle(fleet.change(0, 'x', CREATE));
    expect(answer.kind).toBe('not-accepted');
    await fleet.stop();
  });

  it('reaches hosts without access to the log within seconds through their peers', async () => {
    const fleet = new FakeControlFleet(4);
    await fleet.start(HOSTS);
    [2, 3, 4, 5].forEach((index) => fleet.log.isolated.add(`host-${index}`));
    await fleet.settle(fleet.change(1, 'create', CREATE));
    await fleet.clock.advance(3_000);
    fleet.nodes.forEach(({ store }) => expect(store.current.contracts.has('stock')).toBe(true));
    await fleet.stop();
  });
});

describe('membership', () => {
  const aliveNames = (fleet: FakeControlFleet, index: number) =>
    fleet.nodes
      .get(index)!
      .membership.serving()
      .map(({ host }) => host.name)
      .sort();

  it('discovers every member, and detects a dead one within ten seconds', async () => {
    const fleet = new FakeControlFleet(5);
    await fleet.start(8);
    fleet.nodes.forEach((_, index) => expect(aliveNames(fleet, index)).toHaveLength(8));
    await fleet.kill(5);
    await fleet.clock.advance(10_000);
    fleet.nodes.forEach((_, index) => expect(aliveNames(fleet, index)).not.toContain('host-5'));
    await fleet.stop();
  });

  it('treats a replacement with the same host name as a new member', async () => {
    const fleet = new FakeControlFleet(6);
    await fleet.start(4);
    const before = fleet.nodes.get(2)!.host.incarnation;
    await replace(fleet, 2);
    fleet.nodes.forEach(({ membership }) => {
      expect(membership.findIncarnation(before)).toBeUndefined();
      expect(membership.findIncarnation(fleet.nodes.get(2)!.host.incarnation)).toBeDefined();
    });
    await fleet.stop();
  });

  it('detects a one-way fault on both sides, and declares no member dead', async () => {
    const fleet = new FakeControlFleet(7);
    await fleet.start(5);
    fleet.partition([0], [1], true);
    await fleet.clock.advance(30_000);
    expect(fleet.nodes.get(0)!.membership.isReachable('host-1')).toBe(false);
    expect(fleet.nodes.get(1)!.membership.isReachable('host-0')).toBe(false);
    expect(fleet.nodes.get(2)!.membership.isReachable('host-0')).toBe(true);
    fleet.nodes.forEach((_, index) => expect(aliveNames(fleet, index)).toHaveLength(5));
    fleet.blocked.clear();
    await fleet.clock.advance(30_000);
    expect(fleet.nodes.get(0)!.membership.isReachable('host-1')).toBe(true);
    expect(fleet.nodes.get(1)!.membership.isReachable('host-0')).toBe(true);
    await fleet.stop();
  });

  it('marks a host that receives nothing as isolated; it declares no other member dead', async () => {
    const fleet = new FakeControlFleet(8);
    await fleet.start(5);
    fleet.paused.add('host-4');
    await fleet.clock.advance(4_000);
    const { membership } = fleet.nodes.get(4)!;
    expect(membership.isIsolated).toBe(true);
    await fleet.clock.advance(20_000);
    expect(membership.serving()).toHaveLength(5);
    const { counters } = fleet.nodes.get(4)!;
    expect(counters.valueOf('probed_members', 'doubtful')).toBeGreaterThan(10);
    expect(counters.valueOf('probed_members', 'silent')).toBeLessThanOrEqual(4);
    fleet.paused.clear();
    await fleet.clock.advance(15_000);
    expect(membership.isIsolated).toBe(false);
    fleet.nodes.forEach((_, index) => expect(aliveNames(fleet, index)).toHaveLength(5));
    await fleet.stop();
  });

  it('removes a leaving host at once', async () => {
    const fleet = new FakeControlFleet(9);
    await fleet.start(5);
    fleet.nodes.get(1)!.membership.announceLeaving();
    await fleet.clock.advance(50);
    [0, 2, 3, 4].forEach((index) => expect(aliveNames(fleet, index)).not.toContain('host-1'));
    await fleet.stop();
  });

  it('recovers after a partition of the regions for minutes', async () => {
    const fleet = new FakeControlFleet(10);
    await fleet.start(8);
    fleet.partition([0, 1, 4, 5], [2, 3, 6, 7], false);
    await fleet.clock.advance(120_000);
    expect(aliveNames(fleet, 0)).toHaveLength(4);
    fleet.blocked.clear();
    await fleet.clock.advance(30_000);
    fleet.nodes.forEach((_, index) => expect(aliveNames(fleet, index)).toHaveLength(8));
    await fleet.stop();
  });
});
