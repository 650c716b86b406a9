/** Schema of the contracts that operators publish, with units and defaults. */
import type { Contract } from '@cactusrun/core';
import { z } from 'zod';

const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const MAXIMUM_SLOTS = 10_000;
const MAXIMUM_TARGETS = 5_000;
const MAXIMUM_MILLISECONDS = 3_600_000;

const name = z.string().regex(NAME_PATTERN, 'a name of lower case letters, digits, ".", "_", "-"');
const milliseconds = z.number().int().min(1).max(MAXIMUM_MILLISECONDS);
const percent = z.number().min(0).max(100);

export const TargetSchema = z.strictObject({
  name,
  address: z.string().regex(ADDRESS_PATTERN, 'an address of the form ip:port'),
  zone: name,
});

export const RouteSchema = z.strictObject({
  host: z.string().min(1).default('*'),
  pathPrefix: z.string().startsWith('/'),
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'a method in upper case')).default([]),
  requestClass: z.enum(['idempotent', 'non-idempotent']),
  priority: z.enum(['high', 'normal', 'low']).default('normal'),
  isDeposit: z.boolean().default(false),
});

function hasDistinctNames(items: readonly { readonly name: string }[]): boolean {
  return new Set(items.map((item) => item.name)).size === items.length;
}

/** A complete contract; defaults replace omitted settings. */
export const ContractSchema = z
  .strictObject({
    service: name,
    workspace: name.default('default'),
    region: name,
    slotsPerTarget: z.number().int().min(1).max(MAXIMUM_SLOTS),
    connectionsPerSlot: z.number().int().min(1).max(MAXIMUM_SLOTS).default(1),
    depositsPerOrderWindow: z.number().int().min(0).default(0),
    orderWindowMilliseconds: milliseconds.default(60_000),
    floorPercent: percent.default(70),
    deadlineMilliseconds: milliseconds.default(10_000),
    retryBudgetPercent: percent.default(10),
    caution: z.enum(['swift', 'balanced', 'careful']).default('balanced'),
    targets: z
      .array(TargetSchema)
      .max(MAXIMUM_TARGETS)
      .refine(hasDistinctNames, 'target names differ'),
    routes: z.array(RouteSchema),
  })
  .refine(
    (contract) =>
      contract.routes.every((route) => !route.isDeposit || contract.depositsPerOrderWindow > 0),
    { path: ['depositsPerOrderWindow'], message: 'a deposit route needs a window of at least 1' },
  );

/** A problem of a value, and the path of the property at fault. */
export interface SchemaProblem {
  readonly path: string;
  readonly message: string;
}

/** Either the valid value with defaults filled in, or all its problems. */
export type ValidationResult<Value> =
  | { readonly value: Value; readonly problems: readonly [] }
  | { readonly value: undefined; readonly problems: readonly SchemaProblem[] };

/** Validates a value against a schema and reports all problems at once. */
export function checkAgainst<Value>(
  schema: z.ZodType<Value>,
  input: unknown,
): ValidationResult<Value> {
  const result = schema.safeParse(input);
  if (result.success) return { value: result.data, problems: [] };
  const problems = result.error.issues.map((issue) => ({
    path: issue.path.map(String).join('.'),
    message: issue.message,
  }));
  return { value: undefined, problems };
}

export function checkContract(input: unknown): ValidationResult<Contract> {
  return checkAgainst<Contract>(ContractSchema as z.ZodType<Contract>, input);
}
