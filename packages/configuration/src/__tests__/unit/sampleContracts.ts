/** Contracts, changes and entries for tests. */
import type { Contract } from '@cactusrun/core';
import type { Change, Operation } from '../../Change.js';
import type { LogEntry, LogRecord } from '../../LogRecord.js';
import { encodeRecord } from '../../LogRecord.js';

export function sampleContract(service: string, patch: Partial<Contract> = {}): Contract {
  return {
    service,
    workspace: 'default',
    region: 'west',
    slotsPerTarget: 2,
    connectionsPerSlot: 1,
    depositsPerOrderWindow: 0,
    orderWindowMilliseconds: 60_000,
    floorPercent: 70,
    deadlineMilliseconds: 2_000,
    retryBudgetPercent: 10,
    caution: 'balanced',
    targets: Array.from({ length: 10 }, (_, index) => ({
      name: `t${index}`,
      address: `127.0.1.${index + 1}:9000`,
      zone: index % 2 === 0 ? 'west-a' : 'west-b',
    })),
    routes: [
      {
        host: '*',
        pathPrefix: `/${service}`,
        methods: [],
        requestClass: 'idempotent',
        priority: 'normal',
        isDeposit: false,
      },
    ],
    ...patch,
  };
}

export function sampleChange(
  identity: string,
  baseRevision: number,
  operations: readonly Operation[],
): Change {
  return { identity, author: `author-${identity}`, baseRevision, operations };
}

export function changeRecord(change: Change): LogRecord {
  return { kind: 'change', ...change };
}

export function entryOf(offset: number, record: LogRecord, timestamp = offset * 1_000): LogEntry {
  return { offset, timestamp, data: encodeRecord(record) };
}
