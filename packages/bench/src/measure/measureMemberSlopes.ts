/** Cost of membership and placement, by number of members. */
import type { Host } from '@cactusrun/core';
import { Counters, createRandom, inSequence, ManualClock, silentLogger } from '@cactusrun/core';
import type { MemberTransport } from '@cactusrun/membership';
import { Membership } from '@cactusrun/membership';
import { createScorer, createShards, KeeperIndex } from '@cactusrun/placement';
import type { MemberMessage } from '@cactusrun/protocol';
import { MemberMessageSchema, toBinary } from '@cactusrun/protocol';
import type { Section } from '../Measurement.js';
import { processorMilliseconds } from '../Measurement.js';
import { heapBytes, measureTime, SLOPE_HEAD, slopeRow } from './slopes.js';
import { foldLog, FULL_SIZE, syntheticLog } from './syntheticConfiguration.js';

const MEMBER_COUNTS = [34, 250, 500, 1_000, 2_200];
const ZONES = ['west-a', 'west-b', 'west-c', 'east-a', 'east-b'];
const SIMULATED_SECONDS = 30;

function memberHost(index: number): Host {
  const zone = ZONES[index % ZONES.length]!;
  return {
    name: `host-${index}`,
    incarnation: `0mx8c21ch-${String(index).padStart(12, '0')}`,
    zone,
    region: zone.split('-')[0]!,
    callerAddress: `127.1.${Math.floor(index / 250)}.${index % 250}:8080`,
    peerAddress: `127.1.${Math.floor(index / 250)}.${index % 250}:7401`,
    heartbeatAddress: `127.1.${Math.floor(index / 250)}.${index % 250}:7402`,
  };
}

function memberUpdate(index: number): NonNullable<MemberMessage['sender']> {
  return {
    $typeName: 'cactusrun.v1.MemberUpdate',
    ...memberHost(index),
    version: 1,
    state: 'alive',
    configurationOffset: 1n,
    loadPercent: 1,
  } as NonNullable<MemberMessage['sender']>;
}

/** Runs one production member among simulated ones; the clock is simulated, the work is real. */
async function measureMember(count: number) {
  const clock = new ManualClock();
  const random = createRandom(count);
  let bytes = 0;
  let deliver: (message: MemberMessage) => void = () => {};
  const transport: MemberTransport = {
    send: (address, message) => {
      bytes += toBinary(MemberMessageSchema, message).length;
      if (message.kind !== 'ping') return;
      const index = random.below(count - 1) + 1;
      const answer = { ...message, kind: 'acknowledge', sender: memberUpdate(index) };
      clock.after(1, () => {
        bytes += toBinary(MemberMessageSchema, answer).length;
        deliver(answer);
      });
    },
    listen: (listener) => {
      deliver = listener;
    },
  };
  const heapBefore = heapBytes();
  const membership = new Membership({
    self: memberHost(0),
    seeds: () => [],
    clock,
    random,
    transport,
    counters: new Counters(),
    logger: silentLogger,
  });
  Array.from({ length: count - 1 }).forEach((_, index) =>
    deliver({
      $typeName: 'cactusrun.v1.MemberMessage',
      kind: 'members',
      sequence: 0,
      sender: memberUpdate(index + 1),
      subject: '',
      subjectAddress: '',
      updates: [],
      hearsNot: false,
    } as MemberMessage),
  );
  const memory = heapBytes() - heapBefore;
  const stop = membership.start();
  await clock.advance(5_000);
  bytes = 0;
  const startedAt = processorMilliseconds();
  // On average, a member is probed by one other member per period; the production member answers.
  const probes = Array.from({ length: SIMULATED_SECONDS }).reduce<Promise<void>>(
    async (previous) => {
      await previous;
      deliver({
        $typeName: 'cactusrun.v1.MemberMessage',
        kind: 'ping',
        sequence: 1,
        sender: memberUpdate(1 + random.below(count - 1)),
        subject: '',
        subjectAddress: '',
        updates: [],
        hearsNot: false,
      } as MemberMessage);
      await clock.advance(1_000);
    },
    Promise.resolve(),
  );
  await probes;
  const processor = processorMilliseconds() - startedAt;
  const stopping = stop();
  await clock.advance(2_000);
  await stopping;
  return {
    memory,
    bytesPerSecond: bytes / SIMULATED_SECONDS,
    processorPercent: processor / SIMULATED_SECONDS / 10,
  };
}

async function measureMembers(): Promise<Section> {
  const measurements: { count: number; value: Awaited<ReturnType<typeof measureMember>> }[] = [];
  await inSequence(MEMBER_COUNTS, async (count) => {
    measurements.push({ count, value: await measureMember(count) });
  });
  const points = (value: (measurement: (typeof measurements)[number]) => number) =>
    measurements.map((measurement) => [measurement.count, value(measurement)] as const);
  return {
    title: 'Membership, by members',
    head: SLOPE_HEAD,
    rows: [
      slopeRow(
        'memory',
        'bytes each',
        points(({ value }) => value.memory),
      ),
      slopeRow(
        'heartbeats, sent and received',
        'bytes/s each',
        points(({ value }) => value.bytesPerSecond),
      ),
      slopeRow(
        'processor',
        '% of a core each',
        points(({ value }) => value.processorPercent),
      ),
    ],
    note: 'An idle fleet: one probe sent and one answered each second, and no updates to forward.',
  };
}

async function measurePlacement(): Promise<Section> {
  const scorer = await createScorer();
  const state = foldLog(syntheticLog(FULL_SIZE));
  const shards = [...state.contracts.values()].flatMap((contract) =>
    createShards(scorer, contract),
  );
  const measurements = MEMBER_COUNTS.map((count) => {
    const members = Array.from({ length: count }, (_, index) => memberHost(index));
    const index = new KeeperIndex(scorer);
    index.setMembers(members);
    const uncached = measureTime(() => shards.forEach((shard) => index.keeperOf(shard)));
    const cached = measureTime(() => shards.forEach((shard) => index.keeperOf(shard)));
    const remainingMembers = members.slice(1);
    const lost = measureTime(() => {
      index.setMembers(remainingMembers);
      shards.forEach((shard) => index.keeperOf(shard));
    });
    const joined = measureTime(() => {
      index.setMembers(members);
      shards.forEach((shard) => index.keeperOf(shard));
    });
    return { count, uncached, cached, lost, joined };
  });
  const points = (
    value: (measurement: (typeof measurements)[number]) => { milliseconds: number },
  ) =>
    measurements.map(
      (measurement) => [measurement.count, value(measurement).milliseconds] as const,
    );
  return {
    title: `Keepers of ${shards.length} shards, by members`,
    head: SLOPE_HEAD,
    rows: [
      slopeRow(
        'all keepers computed, uncached',
        'ms each',
        points((measurement) => measurement.uncached),
      ),
      slopeRow(
        'all keepers looked up, cached',
        'ms each',
        points((measurement) => measurement.cached),
      ),
      slopeRow(
        'one member lost',
        'ms each',
        points((measurement) => measurement.lost),
      ),
      slopeRow(
        'one member joined',
        'ms each',
        points((measurement) => measurement.joined),
      ),
    ],
  };
}

export default async function measureMemberSlopes(): Promise<readonly Section[]> {
  return [await measureMembers(), await measurePlacement()];
}
