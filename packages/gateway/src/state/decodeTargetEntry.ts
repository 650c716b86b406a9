/** Checks the entries of targets that peers send. */
import { isAddress, isAmount, isFlag, isRecord, isText, isWhole } from '../fleet/fieldChecks.js';
import type { TargetChange, TargetEntry } from './TargetEntry.js';

function isTargetEntry(value: Readonly<Record<string, unknown>>): boolean {
  const { id, address, service, zone, slots, isLeaving } = value;
  const { coldMilliseconds, bornAt, sequence } = value;
  return (
    [id, service, zone].every(isText) &&
    isAddress(address) &&
    isWhole(slots) &&
    slots > 0 &&
    isFlag(isLeaving) &&
    isAmount(coldMilliseconds) &&
    isWhole(bornAt) &&
    isWhole(sequence)
  );
}

/** Decodes an entry; undefined if it is unreadable. Fields of later versions are left out. */
export function decodeTargetEntry(value: unknown): TargetEntry | undefined {
  if (!isRecord(value) || !isTargetEntry(value)) return undefined;
  const { id, address, service, zone, slots, isLeaving, coldMilliseconds, bornAt, sequence } =
    value as unknown as TargetEntry;
  return { id, address, service, zone, slots, isLeaving, coldMilliseconds, bornAt, sequence };
}

/**
 * Decodes a change. As in the store, an entry that is unreadable stands for no target; undefined if
 * it does not even have an identifier.
 */
export function decodeTargetChange(value: unknown): TargetChange | undefined {
  if (!isRecord(value)) return undefined;
  if (value.kind === 'removed')
    return isText(value.id) ? { kind: 'removed', id: value.id } : undefined;
  if (value.kind !== 'present') return undefined;
  const entry = decodeTargetEntry(value.entry);
  if (entry !== undefined) return { kind: 'present', entry };
  const id = isRecord(value.entry) ? value.entry.id : undefined;
  return isText(id) ? { kind: 'removed', id } : undefined;
}
