/** Slopes of the configuration: memory, fold, snapshot, and the full size in one daemon. */
import process from 'node:process';
import {
  createSnapshotRecords,
  encodeRecord,
  foldEntry,
  packState,
  unpackState,
} from '@cactusrun/configuration';
import { RouteTable } from '@cactusrun/requests';
import type { Section } from '../Measurement.js';
import { digits } from '../Measurement.js';
import { memoryOf, SLOPE_HEAD, slopeRow, timed } from './slopes.js';
import type { ConfigurationSize } from './syntheticConfiguration.js';
import { foldLog, FULL_SIZE, syntheticLog } from './syntheticConfiguration.js';

const BYTES_PER_MEGABYTE = 1_048_576;
const SHARES = [0.1, 0.25, 0.5, 0.75, 1];

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

/** All of them, the full size first. */
export default function measureConfigurationSlopes(): readonly Section[] {
  return [measureFullSize(), measureConfigurationMemory(), measureFold()];
}
