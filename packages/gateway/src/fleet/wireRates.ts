/** Rates in messages between daemons: requests a second, or the number that stands for no limit. */
import type { RequestRate } from '../state/TargetStatement.js';
import { isAmount } from './fieldChecks.js';
import { NONE } from './wireNumbers.js';

/** Whether the value is a rate on the wire. */
export function isRate(value: unknown): value is number {
  return value === NONE || isAmount(value);
}

export function encodeRate(rate: RequestRate): number {
  return rate === 'unlimited' ? NONE : rate;
}

export function decodeRate(rate: number): RequestRate {
  return rate === NONE ? 'unlimited' : rate;
}
