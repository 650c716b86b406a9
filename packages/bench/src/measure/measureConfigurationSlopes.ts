/** Cost of the configuration by size: memory, fold, snapshot, and the full size in one daemon. */
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
import { formatFigure } from '../Measurement.js';
import { measureMemory, measureTime, SLOPE_HEAD, slopeRow } from './slopes.js';
import type { ConfigurationSize } from './syntheticConfiguration.js';
import { foldLog, FULL_SIZE, syntheticLog } from './syntheticConfiguration.js';

const BYTES_PER_MEGABYTE = 1_048_576;
const SIZE_FRACTIONS = [0.1, 0.25, 0.5, 0.75, 1];

function scaledSize(fraction: number, field: keyof ConfigurationSize | 'all'): ConfigurationSize {
  const small = { services: 930, targets: 930, routes: 930, workspaces: 930 };
  if (field !== 'all') return { ...small, [field]: Math.round(FULL_SIZE[field] * fraction) };
  return {
    services: Math.round(FULL_SIZE.services * fraction),
    targets: Math.round(FULL_SIZE.targets * fraction),
    routes: Math.round(FULL_SIZE.routes * fraction),
    workspaces: Math.round(FULL_SIZE.workspaces * fraction),
  };
}

function measureConfigurationMemory(): Section {
  const bytesFor = (size: ConfigurationSize) => measureMemory(() => foldLog(syntheticLog(size)));
  const rows = (['targets', 'routes', 'services'] as const).map((field) =>
    slopeRow(
      `configuration, by ${field}`,
      'bytes each',
      SIZE_FRACTIONS.map((fraction) => {
        const size = scaledSize(fraction, field);
        return [size[field], bytesFor(size)];
      }),
    ),
  );
  const tableRow = slopeRow(
    'route table, by routes',
    'bytes each',
    SIZE_FRACTIONS.map((fraction) => {
      const size = scaledSize(fraction, 'routes');
      const state = foldLog(syntheticLog(size));
      return [size.routes, measureMemory(() => new RouteTable(state.contracts))];
    }),
  );
  return { title: 'Memory of the configuration', head: SLOPE_HEAD, rows: [...rows, tableRow] };
}

function measureFold(): Section {
  const measurements = SIZE_FRACTIONS.map((fraction) => {
    const size = scaledSize(fraction, 'all');
    const entries = syntheticLog(size);
    const folded = measureTime(() => foldLog(entries));
    const state = folded.value;
    const packed = measureTime(() => packState(state));
    const loaded = measureTime(() => unpackState(packed.value));
    const record = encodeRecord({
      kind: 'change',
      identity: 'one',
      author: 'bench',
      baseRevision: state.revision,
      operations: [{ kind: 'change-contract', service: 'service-0', patch: { floorPercent: 50 } }],
    });
    const changeFolded = measureTime(() =>
      foldEntry(state, { offset: state.offset + 1, timestamp: 0, data: record }),
    );
    const routeTable = measureTime(() => new RouteTable(state.contracts));
    const recordCount = createSnapshotRecords(state).length;
    return {
      fraction,
      folded,
      packed,
      loaded,
      changeFolded,
      routeTable,
      recordCount,
      bytes: packed.value.length,
    };
  });
  const points = (value: (measurement: (typeof measurements)[number]) => number) =>
    measurements.map((measurement) => [measurement.fraction, value(measurement)] as const);
  return {
    title: 'Fold, snapshot and load, by fraction of the full size',
    head: SLOPE_HEAD,
    rows: [
      slopeRow(
        'fold of the whole log',
        'ms at full size',
        points((measurement) => measurement.folded.milliseconds),
      ),
      slopeRow(
        'fold of one change',
        'ms at full size',
        points((measurement) => measurement.changeFolded.milliseconds),
      ),
      slopeRow(
        'pack a snapshot',
        'ms at full size',
        points((measurement) => measurement.packed.milliseconds),
      ),
      slopeRow(
        'load a snapshot',
        'ms at full size',
        points((measurement) => measurement.loaded.milliseconds),
      ),
      slopeRow(
        'snapshot',
        'bytes at full size',
        points((measurement) => measurement.bytes),
      ),
      slopeRow(
        'records of a snapshot',
        'at full size',
        points((measurement) => measurement.recordCount),
      ),
      slopeRow(
        'route table',
        'ms at full size',
        points((measurement) => measurement.routeTable.milliseconds),
      ),
    ],
  };
}

function measureFullSize(): Section {
  const bytes = measureMemory(() => {
    const state = foldLog(syntheticLog(FULL_SIZE));
    return { state, table: new RouteTable(state.contracts) };
  });
  const state = foldLog(syntheticLog(FULL_SIZE));
  const table = new RouteTable(state.contracts);
  const lookups = 200_000;
  const resolved = measureTime(() => {
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
      ['workspaces in the lookups', FULL_SIZE.workspaces],
      ['heap of state and route table (MB)', formatFigure(bytes / BYTES_PER_MEGABYTE)],
      [
        'resident memory of this process (MB)',
        formatFigure(process.memoryUsage().rss / BYTES_PER_MEGABYTE),
      ],
      ['route lookup (µs)', formatFigure((resolved.milliseconds * 1_000) / lookups)],
    ],
  };
}

/** Runs all measurements of the configuration; the full size is measured first. */
export default function measureConfigurationSlopes(): readonly Section[] {
  return [measureFullSize(), measureConfigurationMemory(), measureFold()];
}
