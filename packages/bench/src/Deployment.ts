/** The users' deployments: where their hosts are, and the contracts of `examples/`. */
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import type { Target } from '@cactusrun/core';
import { parseScript } from '@cactusrun/language';

export type DeploymentName = 'kreupelhout' | 'tuul';

export interface LookupRoute {
  readonly service: string;
  readonly path: string;
}

export interface Deployment {
  readonly name: DeploymentName;
  /** Zones, those of the back ends first. */
  readonly zones: readonly string[];
  readonly backEndRegion: string;
  readonly callerRegion: string;
  /** One way, between callers and entry hosts. */
  readonly callerMilliseconds: number;
  readonly lookup: LookupRoute;
  readonly order: LookupRoute;
  readonly upload: LookupRoute;
  /** Mean work of each service, in milliseconds. */
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

/** The text of the deployment's contracts. */
export function readContracts(name: DeploymentName): Promise<string> {
  const path = fileURLToPath(new URL(`../../../examples/${name}/contracts.crl`, import.meta.url));
  return readFile(path, 'utf8');
}

/** A target with the slots that its contract states. */
export interface PlannedTarget extends Target {
  readonly slots: number;
}

/** The targets that a script of contracts names. */
export function plannedTargets(script: string): readonly PlannedTarget[] {
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
