/** The example deployments: locations of their hosts, and their contracts in `examples/`. */
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import type { Target } from '@cactusrun/core';
import { parseScript } from '@cactusrun/language';

export type DeploymentName = 'kreupelhout' | 'tuul';

export interface ServicePath {
  readonly service: string;
  readonly path: string;
}

export interface Deployment {
  readonly name: DeploymentName;
  /** Zones; those of the back-end region come first. */
  readonly zones: readonly string[];
  readonly backEndRegion: string;
  readonly callerRegion: string;
  /** One-way latency between callers and entry hosts. */
  readonly callerMilliseconds: number;
  readonly lookup: ServicePath;
  readonly order: ServicePath;
  readonly upload: ServicePath;
  /** Mean work duration of a request. */
  readonly workMilliseconds: number;
}

export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  kreupelhout: {
    name: 'kreupelhout',
    zones: ['west-a', 'west-b', 'east-a', 'east-b'],
    backEndRegion: 'west',
    callerRegion: 'east',
    callerMilliseconds: 1,
    lookup: { service: 'catalogue', path: '/stock/lamp-7' },
    order: { service: 'orders', path: '/orders' },
    upload: { service: 'uploads', path: '/sketches/shade' },
    workMilliseconds: 20,
  },
  tuul: {
    name: 'tuul',
    zones: ['capital-a', 'capital-b', 'province-a', 'province-b'],
    backEndRegion: 'capital',
    callerRegion: 'province',
    callerMilliseconds: 8,
    lookup: { service: 'slotboard', path: '/status/ticket-9' },
    order: { service: 'ledger-desk', path: '/captures' },
    upload: { service: 'fabric-vault', path: '/garments/tie' },
    workMilliseconds: 20,
  },
};

/** The script that creates the deployment's contracts. */
export function readContracts(name: DeploymentName): Promise<string> {
  const path = fileURLToPath(new URL(`../../../examples/${name}/contracts.crl`, import.meta.url));
  return readFile(path, 'utf8');
}

/** A target and the number of slots in its contract. */
export interface ContractTarget extends Target {
  readonly slots: number;
}

/** The targets of all contracts in a script. */
export function parseTargets(script: string): readonly ContractTarget[] {
  return parseScript(script).flatMap((statement) => {
    if (statement.kind !== 'command' || statement.command.kind !== 'create-contract') return [];
    const { clauses } = statement.command;
    const slots = clauses
      .map((clause) => (clause.kind === 'setting' ? clause.patch.slotsPerTarget : undefined))
      .find((value) => value !== undefined);
    return clauses.flatMap((clause) =>
      clause.kind === 'add-target' ? [{ ...clause.target, slots: slots ?? 1 }] : [],
    );
  });
}
