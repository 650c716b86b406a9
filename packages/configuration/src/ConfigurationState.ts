/** The configuration in force: one frozen value, the fold of the log up to an offset. */
import type { Contract } from '@cactusrun/core';
import type { ChangeVerdict, HeldRequest } from './Change.js';

/** A share of a service's ejection budget, held for one target. */
export interface EjectionClaim {
  readonly service: string;
  readonly target: string;
  /** Incarnation of the daemon that holds the share. */
  readonly holder: string;
  /** Platform time, milliseconds since the epoch. */
  readonly expiresAt: number;
  /** A raised floor took the share back; it counts until it is returned or has run out. */
  readonly isRevoked: boolean;
}

/** What is remembered of a change, so that a repeated append is taken once. */
export interface RememberedChange {
  readonly identity: string;
  readonly author: string;
  readonly offset: number;
  readonly verdict: ChangeVerdict;
  /** What it changed, for the one whose change is refused because of it. */
  readonly summary: string;
}

export interface ConfigurationState {
  /** Offset of the last record folded in; -1 before the first. */
  readonly offset: number;
  /** Offset of the last accepted change; -1 before the first. */
  readonly revision: number;
  readonly contracts: ReadonlyMap<string, Contract>;
  /** Keys `service/target` of the targets that operators drain. */
  readonly drained: ReadonlySet<string>;
  /** By key `service/target`. */
  readonly claims: ReadonlyMap<string, EjectionClaim>;
  /** By key `service/fingerprint`. */
  readonly holds: ReadonlyMap<string, HeldRequest>;
  /** The latest changes by identity, oldest first. */
  readonly remembered: ReadonlyMap<string, RememberedChange>;
  /** By service: the last accepted change that touched it. */
  readonly touched: ReadonlyMap<string, { readonly revision: number; readonly identity: string }>;
  /** Changes at or below this offset are no longer remembered by identity. */
  readonly forgottenOffset: number;
  /** Offsets of records that this version did not understand. */
  readonly gaps: readonly number[];
}

export const EMPTY_STATE: ConfigurationState = Object.freeze<ConfigurationState>({
  offset: -1,
  revision: -1,
  contracts: new Map(),
  drained: new Set(),
  claims: new Map(),
  holds: new Map(),
  remembered: new Map(),
  touched: new Map(),
  forgottenOffset: -1,
  gaps: [],
});

/** The key under which a target of a service is kept. */
export function targetKey(service: string, target: string): string {
  return `${service}/${target}`;
}

/** A copy of the map without the entries that fail the test; the same map if all pass. */
export function filterMap<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  keeps: (value: Value, key: Key) => boolean,
): ReadonlyMap<Key, Value> {
  const kept = [...map].filter(([key, value]) => keeps(value, key));
  return kept.length === map.size ? map : new Map(kept);
}

/** A copy of the map with one entry set. */
export function withEntry<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
  value: Value,
): ReadonlyMap<Key, Value> {
  return new Map(map).set(key, value);
}

/** A copy of the map without one entry. */
export function withoutEntry<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
): ReadonlyMap<Key, Value> {
  return filterMap(map, (_, candidate) => candidate !== key);
}
