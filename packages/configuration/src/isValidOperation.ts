/** The shape of the operations in a record, which any program may have appended to the log. */
import { z } from 'zod';
import type { Operation, OperationKind } from './Change.js';

const service = z.string();
const target = z.string();

/** Contracts and patches are checked as a whole when they are applied. */
const SCHEMAS: { readonly [Kind in OperationKind]: z.ZodType } = {
  'create-contract': z.looseObject({ contract: z.looseObject({ service }) }),
  'change-contract': z.looseObject({ service }),
  'withdraw-contract': z.looseObject({ service }),
  'drain-target': z.looseObject({ service, target }),
  'return-target': z.looseObject({ service, target }),
  'lift-hold': z.looseObject({ service, fingerprint: z.string() }),
};

/** Whether an operation of a known kind has the fields of its kind. */
export default function isValidOperation(operation: Operation): boolean {
  return SCHEMAS[operation.kind].safeParse(operation).success;
}
