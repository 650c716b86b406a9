/**
 * Schema of a packed state, which comes from the log or from a peer. Fields of later versions in a
 * contract are kept, so that a snapshot written here does not lose them.
 */
import { z } from 'zod';
import { ContractSchema, RouteSchema, TargetSchema } from './ContractSchema.js';

/** Version of the format that `Snapshot.ts` writes and reads. */
export const FORMAT_VERSION = 1;

const offset = z.number().int().min(-1);
const text = z.string();

const contract = z.looseObject({
  ...ContractSchema.shape,
  targets: z.array(z.looseObject(TargetSchema.shape)),
  routes: z.array(z.looseObject(RouteSchema.shape)),
});

const claim = z.looseObject({
  service: text,
  target: text,
  holder: text,
  expiresAt: z.number(),
  isRevoked: z.boolean(),
});

const verdict = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('accepted'), revision: offset }),
  z.looseObject({ kind: z.literal('refused'), reason: text, detail: text }),
]);

const remembered = z.looseObject({ identity: text, author: text, offset, verdict, summary: text });

/** The entries of a map, as pairs. */
function entriesOf<Value extends z.ZodType>(value: Value) {
  return z.array(z.tuple([z.string(), value]));
}

/** A packed state, before its lists become maps and sets. */
export const StateSchema = z
  .object({
    version: z.literal(FORMAT_VERSION),
    offset,
    revision: offset,
    forgottenOffset: offset,
    gaps: z.array(offset),
    drained: z.array(text),
    contracts: entriesOf(contract).refine((entries) =>
      entries.every(([key, { service }]) => key === service),
    ),
    claims: entriesOf(claim),
    holds: entriesOf(z.looseObject({ service: text, fingerprint: text, expiresAt: z.number() })),
    remembered: entriesOf(remembered),
    touched: entriesOf(z.looseObject({ revision: offset, identity: text })),
  })
  .refine((state) => state.revision <= state.offset);
