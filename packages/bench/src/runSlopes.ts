/** `npm run bench:slopes`: what each thing costs one daemon, at several sizes, with a fit. */
import process from 'node:process';
import {
  createSnapshotRecords,
  encodeRecord,
  foldEntry,
  packState,
  unpackState,
} from '@cactusrun/configuration';
import { Counters, createRandom, inSequence, ManualClock, silentLogger } from '@cactusrun/core';
import type { Host } from '@cactusrun/core';
import type { MemberTransport } from '@cactusrun/membership';
import { Membership } from '@cactusrun/membership';
import { createScorer, createShards, KeeperIndex } from '@cactusrun/placement';
import type { MemberMessage } from '@cactusrun/protocol';
import { MemberMessageSchema, toBinary } from '@cactusrun/protocol';
import { RouteTable, TicketIssuer, TicketLedger } from '@cactusrun/requests';
import { ShardHealth } from '@cactusrun/health';
import { Cli, Command, Option } from 'clipanion';
import type { Section } from './Measurement.js';
import { digits, fitLine, processorMilliseconds, publishSections } from './Measurement.js';
import type { ConfigurationSize } from './measure/syntheticConfiguration.js';
import { foldLog, FULL_SIZE, syntheticLog } from './measure/syntheticConfiguration.js';

const BYTES_PER_MEGABYTE = 1_048_576;
const SHARES = [0.1, 0.25, 0.5, 0.75, 1];
const MEMBER_COUNTS = [34, 250, 500, 1_000, 2_200];
const ZONES = ['west-a', 'west-b', 'west-c', 'east-a', 'east-b'];
const SIMULATED_SECONDS = 30;

/** Heap in use after a collection, in bytes. */
function heapBytes(): number {
  const collect = (globalThis as { gc?: () => void }).gc;
  if (collect === undefined) throw new Error('start with --expose-gc');
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

function timed<Value>(run: () => Value): { readonly value: Value; readonly milliseconds: number } {
  const startedAt = performance.now();
  const value = run();
  return { value, milliseconds: performance.now() - startedAt };
}

/** What is kept alive while the heap is measured. */
const kept: unknown[] = [];

function memoryOf(build: () => unknown): number {
  const before = heapBytes();
  kept.push(build());
  const after = heapBytes();
  kept.pop();
  return after - before;
}

function scaled(share: number, field: keyof ConfigurationSize | 'all'): ConfigurationSize {
  const small = { services: 930, targets: 930, routes: 930, workspaces: 930 };
  if (field !== 'all') return { ...small, [field]: Math.round(FULL_SIZE[field] * share) };
  return {
    services: Math.round(FULL_SIZE.services * share),
    targets: Math.round(FULL_SIZE.targets * share),
    routes: Math.round(FULL_SIZE.routes * share),
    workspaces: Math.round(FULL_SIZE.workspaces * share),
  };
}

function slopeRow(
  name: string,
  unit: string,
  points: readonly (readonly [number, number])[],
): readonly (string | number)[] {
  const { slope, intercept, error } = fitLine(points);
  return [
    name,
    points.map(([x, y]) => `${x}: ${digits(y)}`).join(', '),
    `${digits(slope)} ${unit}`,
    digits(intercept),
    `${digits(error * 100)}%`,
  ];
}

const SLOPE_HEAD = ['quantity', 'size: value', 'slope', 'intercept', 'error of the fit'];

function measureConfigurationMemory(): Section {
  const bytesFor = (size: ConfigurationSize) => memoryOf(() => foldLog(syntheticLog(size)));
  const rows = (['targets', 'routes', 'services'] as const).map((field) =>
    slopeRow(
      `configuration, by ${field}`,
      'bytes each',
      SHARES.map((share) => {
        const size = scaled(share, field);
        return [size[field], bytesFor(size)];
      }),
    ),
  );
  const tableRow = slopeRow(
    'route table, by routes',
    'bytes each',
    SHARES.map((share) => {
      const size = scaled(share, 'routes');
      const state = foldLog(syntheticLog(size));
      return [size.routes, memoryOf(() => new RouteTable(state.contracts))];
    }),
  );
  return { title: 'Memory of the configuration', head: SLOPE_HEAD, rows: [...rows, tableRow] };
}

function measureFold(): Section {
  const facts = SHARES.map((share) => {
    const size = scaled(share, 'all');
    const entries = syntheticLog(size);
    const folded = timed(() => foldLog(entries));
    const state = folded.value;
    const packed = timed(() => packState(state));
    const loaded = timed(() => unpackState(packed.value));
    const record = encodeRecord({
      kind: 'change',
      identity: 'one',
      author: 'bench',
      baseRevision: state.revision,
      operations: [{ kind: 'change-contract', service: 'service-0', patch: { floorPercent: 50 } }],
    });
    const one = timed(() =>
      foldEntry(state, { offset: state.offset + 1, timestamp: 0, data: record }),
    );
    const routes = timed(() => new RouteTable(state.contracts));
    const parts = createSnapshotRecords(state).length;
    return { share, folded, packed, loaded, one, routes, parts, bytes: packed.value.length };
  });
  const points = (value: (fact: (typeof facts)[number]) => number) =>
    facts.map((fact) => [fact.share, value(fact)] as const);
  return {
    title: 'Fold, snapshot and load, by share of the full size',
    head: SLOPE_HEAD,
    rows: [
      slopeRow(
        'fold of the whole log',
        'ms at full size',
        points((fact) => fact.folded.milliseconds),
      ),
      slopeRow(
        'fold of one change',
        'ms at full size',
        points((fact) => fact.one.milliseconds),
      ),
      slopeRow(
        'pack a snapshot',
        'ms at full size',
        points((fact) => fact.packed.milliseconds),
      ),
      slopeRow(
        'load a snapshot',
        'ms at full size',
        points((fact) => fact.loaded.milliseconds),
      ),
      slopeRow(
        'snapshot',
        'bytes at full size',
        points((fact) => fact.bytes),
      ),
      slopeRow(
        'records of a snapshot',
        'at full size',
        points((fact) => fact.parts),
      ),
      slopeRow(
        'route table',
        'ms at full size',
        points((fact) => fact.routes.milliseconds),
      ),
    ],
  };
}

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

function senderOf(index: number): NonNullable<MemberMessage['sender']> {
  return {
    $typeName: 'cactusrun.v1.MemberUpdate',
    ...memberHost(index),
    version: 1,
    state: 'alive',
    configurationOffset: 1n,
    loadPercent: 1,
  } as NonNullable<MemberMessage['sender']>;
}

/** One real member among others that answer as members do; time is faked, work is real. */
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
      const answer = { ...message, kind: 'acknowledge', sender: senderOf(index) };
      clock.after(1, () => {
        bytes += toBinary(MemberMessageSchema, answer).length;
        deliver(answer);
      });
    },
    listen: (listener) => {
      deliver = listener;
    },
  };
  const before = heapBytes();
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
      sender: senderOf(index + 1),
      subject: '',
      subjectAddress: '',
      updates: [],
      hearsNot: false,
    } as MemberMessage),
  );
  const memory = heapBytes() - before;
  const stop = membership.start();
  await clock.advance(5_000);
  bytes = 0;
  const startedAt = processorMilliseconds();
  // Each member is probed by one other per period in the mean; the real one answers.
  const probes = Array.from({ length: SIMULATED_SECONDS }).reduce<Promise<void>>(async (wait) => {
    await wait;
    deliver({
      $typeName: 'cactusrun.v1.MemberMessage',
      kind: 'ping',
      sequence: 1,
      sender: senderOf(1 + random.below(count - 1)),
      subject: '',
      subjectAddress: '',
      updates: [],
      hearsNot: false,
    } as MemberMessage);
    await clock.advance(1_000);
  }, Promise.resolve());
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
  const facts: { count: number; value: Awaited<ReturnType<typeof measureMember>> }[] = [];
  await inSequence(MEMBER_COUNTS, async (count) => {
    facts.push({ count, value: await measureMember(count) });
  });
  const points = (value: (fact: (typeof facts)[number]) => number) =>
    facts.map((fact) => [fact.count, value(fact)] as const);
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
    note: 'A quiet fleet: one probe sent and one answered each second, and nothing to pass on.',
  };
}

async function measurePlacement(): Promise<Section> {
  const scorer = await createScorer();
  const state = foldLog(syntheticLog(FULL_SIZE));
  const shards = [...state.contracts.values()].flatMap((contract) =>
    createShards(scorer, contract),
  );
  const facts = MEMBER_COUNTS.map((count) => {
    const members = Array.from({ length: count }, (_, index) => memberHost(index));
    const index = new KeeperIndex(scorer);
    index.setMembers(members);
    const first = timed(() => shards.forEach((shard) => index.keeperOf(shard)));
    const again = timed(() => shards.forEach((shard) => index.keeperOf(shard)));
    const without = members.slice(1);
    const lost = timed(() => {
      index.setMembers(without);
      shards.forEach((shard) => index.keeperOf(shard));
    });
    const joined = timed(() => {
      index.setMembers(members);
      shards.forEach((shard) => index.keeperOf(shard));
    });
    return { count, first, again, lost, joined };
  });
  const points = (value: (fact: (typeof facts)[number]) => { milliseconds: number }) =>
    facts.map((fact) => [fact.count, value(fact).milliseconds] as const);
  return {
    title: `Keepers of ${shards.length} shards, by members`,
    head: SLOPE_HEAD,
    rows: [
      slopeRow(
        'all places worked out anew',
        'ms each',
        points((fact) => fact.first),
      ),
      slopeRow(
        'all places asked for again',
        'ms each',
        points((fact) => fact.again),
      ),
      slopeRow(
        'one member lost',
        'ms each',
        points((fact) => fact.lost),
      ),
      slopeRow(
        'one member joined',
        'ms each',
        points((fact) => fact.joined),
      ),
    ],
  };
}

function measureRequestState(): Section {
  const counts = [1_000, 5_000, 10_000, 25_000, 50_000];
  const ticketPoints = counts.map((count) => {
    const clock = new ManualClock();
    const issuer = new TicketIssuer('host-1', 'incarnation');
    const bytes = memoryOf(() => {
      const ledger = new TicketLedger(clock, new Counters(), { tickets: count, answerBytes: 0 });
      Array.from({ length: count }).forEach(() => {
        const admission = ledger.admit(issuer.issue(clock.now()), {
          requestKey: 'POST /orders x y',
        });
        if (admission.kind === 'run') admission.run.answered(undefined);
      });
      return ledger;
    });
    return [count, bytes] as const;
  });
  const targetCounts = [10, 50, 100, 200, 400];
  const healthPoints = targetCounts.map((count) => {
    const bytes = memoryOf(() => {
      const clock = new ManualClock();
      const names = Array.from({ length: count }, (_, index) => `target-${index}`);
      return new ShardHealth({
        service: 'service',
        targets: names,
        caution: 'balanced',
        clock,
        counters: new Counters(),
        logger: silentLogger,
        isEjected: () => false,
      });
    });
    return [count, bytes] as const;
  });
  return {
    title: 'State of requests and kept targets',
    head: SLOPE_HEAD,
    rows: [
      slopeRow('used tickets, answers dropped', 'bytes each', ticketPoints),
      slopeRow('health of kept targets', 'bytes each', healthPoints),
    ],
  };
}

function measureFullSize(): Section {
  const bytes = memoryOf(() => {
    const state = foldLog(syntheticLog(FULL_SIZE));
    return { state, table: new RouteTable(state.contracts) };
  });
  const state = foldLog(syntheticLog(FULL_SIZE));
  const table = new RouteTable(state.contracts);
  const lookups = 200_000;
  const resolving = timed(() => {
    Array.from({ length: lookups }).forEach((_, index) => {
      const workspace = `workspace-${index % FULL_SIZE.workspaces}`;
      const service = index % FULL_SIZE.services;
      table.resolve(workspace, 'x', 'GET', `/service-${service}/route-1/item`);
    });
  });
  return {
    title: 'The full-size configuration in one daemon',
    head: ['quantity', 'value'],
    rows: [
      [
        'services, targets, routes',
        `${FULL_SIZE.services}, ${FULL_SIZE.targets}, ${FULL_SIZE.routes}`,
      ],
      ['workspaces that ask', FULL_SIZE.workspaces],
      ['heap of state and route table (MB)', digits(bytes / BYTES_PER_MEGABYTE)],
      [
        'resident memory of this process (MB)',
        digits(process.memoryUsage().rss / BYTES_PER_MEGABYTE),
      ],
      ['finding a route (µs)', digits((resolving.milliseconds * 1_000) / lookups)],
    ],
  };
}

class SlopesCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: 'Measures what each thing costs one daemon, at five sizes, with a fit.',
  });

  public page = Option.String('--page', 'docs/MEASUREMENTS.md', {
    description: 'Markdown page to append to.',
  });

  public override async execute(): Promise<number> {
    const sections = [
      measureFullSize(),
      measureConfigurationMemory(),
      measureFold(),
      await measureMembers(),
      await measurePlacement(),
      measureRequestState(),
    ];
    await publishSections('Slopes', sections, this.page);
    return 0;
  }
}

const cli = new Cli({ binaryName: 'npm run bench:slopes --', binaryVersion: '0.1.0' });
cli.register(SlopesCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
