/** The configuration in force: an immutable value, folded from the log up to an offset. */
import type { Contract } from '@cactusrun/core';
import type { ChangeVerdict, HeldRequest } from './Change.js';

/** The right to eject one target, leased from the service's ejection budget. */
export interface EjectionLease {
  readonly service: string;
  readonly target: string;
  /** Incarnation of the daemon that holds the lease. */
  readonly holder: string;
  /** Platform time, milliseconds since the epoch. */
  readonly expiresAt: number;
  /** Revoked by a raised floor or a drained target; counts until it is returned or has expired. */
  readonly isRevoked: boolean;
}

/** What is kept of a change, so that it is applied once even if it is appended again. */
export interface RememberedChange {
  readonly identity: string;
  readonly author: string;
  readonly offset: number;
  readonly verdict: ChangeVerdict;
  /** What the change did, for the author of a change that conflicts with it. */
  readonly summary: string;
}

export interface ConfigurationState {
  /** Offset of the last record folded in; -1 before the first. */
  readonly offset: number;
  /** Offset of the last accepted change; -1 before the first. */
  readonly revision: number;
  readonly contracts: ReadonlyMap<string, Contract>;
  /** Keys `service/target` of the targets that operators have drained. */
  readonly drained: ReadonlySet<string>;
  /** Ejection leases by key `service/target`. */
  readonly claims: ReadonlyMap<string, EjectionLease>;
  /** Held requests by key `service/fingerprint`. */
  readonly holds: ReadonlyMap<string, HeldRequest>;
  /** The latest changes by identity, oldest first. */
  readonly remembered: ReadonlyMap<string, RememberedChange>;
  /** By service: the last accepted change of it. */
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

/** The key of a service's target in the maps of the state. */
export function targetKey(service: string, target: string): string {
  return `${service}/${target}`;
}

/** A copy of the map with the entries that match the predicate; the same map if all match. */
export function filterMap<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  predicate: (value: Value, key: Key) => boolean,
): ReadonlyMap<Key, Value> {
  const kept = [...map].filter(([key, value]) => predicate(value, key));
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
