/** Checks of single fields in what peers send; they are written by hand since datagrams are frequent. */
import { parseAddress } from '@cactusrun/core';

export function isText(value: unknown): value is string {
  return typeof value === 'string';
}

/** A finite number of at least 0: a count, a time span or a rate. */
export function isAmount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY;
}

/** A whole number that JavaScript represents exactly: a version, a position or a point in time. */
export function isWhole(value: unknown): value is number {
  return Number.isSafeInteger(value);
}

/** `ip:port` that a socket takes. */
export function isAddress(value: unknown): value is string {
  return parseAddress(value) !== undefined;
}

export function isFlag(value: unknown): value is boolean {
  return typeof value === 'boolean';
}

export function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether the value is absent or passes the check. */
export function isOptional<Value>(
  value: unknown,
  check: (present: unknown) => present is Value,
): value is Value | undefined {
  return value === undefined || check(value);
}

/** Whether the value is a list of which all items pass the check. */
export function isListOf<Item>(
  value: unknown,
  check: (item: unknown) => item is Item,
): value is readonly Item[] {
  return Array.isArray(value) && value.every(check);
}
