/** Generates configurations of any size. */
import type { ConfigurationState, LogEntry } from '@cactusrun/configuration';
import { EMPTY_STATE, encodeRecord, foldEntry } from '@cactusrun/configuration';
import type { Contract } from '@cactusrun/core';

export interface ConfigurationSize {
  readonly services: number;
  readonly targets: number;
  readonly routes: number;
  readonly workspaces: number;
}

/** Configuration size that the product is designed for. */
export const FULL_SIZE: ConfigurationSize = {
  services: 930,
  targets: 23_000,
  routes: 12_000,
  workspaces: 130_000,
};

const ZONES = ['west-a', 'west-b', 'west-c', 'east-a', 'east-b'];
const SERVICES_PER_CHANGE = 10;

/** Number of items of the part at the index when `total` items are divided evenly. */
function itemsOfPart(total: number, parts: number, index: number): number {
  return Math.floor(((index + 1) * total) / parts) - Math.floor((index * total) / parts);
}

export function syntheticContract(size: ConfigurationSize, index: number): Contract {
  const region = index % 2 === 0 ? 'west' : 'east';
  const zones = ZONES.filter((zone) => zone.startsWith(region));
  return {
    service: `service-${index}`,
    workspace: `workspace-${index % Math.max(1, size.workspaces)}`,
    region,
    slotsPerTarget: 4,
    connectionsPerSlot: 2,
    depositsPerOrderWindow: 100,
    orderWindowMilliseconds: 60_000,
    floorPercent: 70,
    deadlineMilliseconds: 5_000,
    retryBudgetPercent: 10,
    caution: 'balanced',
    targets: Array.from(
      { length: itemsOfPart(size.targets, size.services, index) },
      (_, target) => ({
        name: `target-${target}`,
        address: `127.${index % 200}.${Math.floor(target / 200)}.${target % 200}:9000`,
        zone: zones[target % zones.length]!,
      }),
    ),
    routes: Array.from({ length: itemsOfPart(size.routes, size.services, index) }, (_, route) => ({
      host: '*',
      pathPrefix: `/service-${index}/route-${route}`,
      methods: ['GET', 'POST'],
      requestClass: 'idempotent',
      priority: 'normal',
      isDeposit: false,
    })),
  };
}

/** The log of an operator's changes, each of which creates ten contracts. */
export function syntheticLog(size: ConfigurationSize): readonly LogEntry[] {
  const changes = Math.ceil(size.services / SERVICES_PER_CHANGE);
  return Array.from({ length: changes }, (_, change) => {
    const first = change * SERVICES_PER_CHANGE;
    const count = Math.min(SERVICES_PER_CHANGE, size.services - first);
    const operations = Array.from({ length: count }, (_item, index) => ({
      kind: 'create-contract' as const,
      contract: syntheticContract(size, first + index),
    }));
    const data = encodeRecord({
      kind: 'change',
      identity: `change-${change}`,
      author: 'bench',
      baseRevision: change - 1,
      operations,
    });
    return { offset: change, timestamp: change, data };
  });
}

export function foldLog(entries: readonly LogEntry[]): ConfigurationState {
  return entries.reduce(foldEntry, EMPTY_STATE);
}
