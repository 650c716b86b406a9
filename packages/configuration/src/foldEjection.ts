/**
 * Ejection leases, granted in the order of the log. A lease counts until its holder returns it or
 * the platform's time has passed its end, so that daemons that cannot reach one another never eject
 * more targets than the budget allows.
 */
import type { Contract } from '@cactusrun/core';
import { floorOf } from '@cactusrun/core';
import type { ConfigurationState, EjectionLease } from './ConfigurationState.js';
import { filterMap, targetKey, withEntry, withoutEntry } from './ConfigurationState.js';
import type { ClaimRecord, RenewalRecord, ReturnRecord } from './LogRecord.js';

/** Added to each lease by the platform's time, for clocks that run at different rates. */
export const LEASE_MARGIN_MILLISECONDS = 2_000;

/** Removes leases that have expired, including the margin. */
export function expireLeases(state: ConfigurationState, timestamp: number): ConfigurationState {
  const claims = filterMap(state.claims, (lease) => lease.expiresAt > timestamp);
  return claims === state.claims ? state : { ...state, claims };
}

/** How many targets of the contract may be ejected or drained at the same time. */
export function ejectionBudget(contract: Contract): number {
  return contract.targets.length - floorOf(contract);
}

function unavailableTargets(
  state: ConfigurationState,
  contract: Contract,
  others: readonly string[],
): ReadonlySet<string> {
  const isUnavailable = (target: string) =>
    state.claims.has(targetKey(contract.service, target)) ||
    state.drained.has(targetKey(contract.service, target)) ||
    others.includes(target);
  return new Set(contract.targets.map((target) => target.name).filter(isUnavailable));
}

/** Grants a lease; returns the same state when the floor or an existing lease prevents it. */
export function foldClaim(
  state: ConfigurationState,
  record: ClaimRecord,
  timestamp: number,
): ConfigurationState {
  const contract = state.contracts.get(record.service);
  const key = targetKey(record.service, record.target);
  const isTarget = contract?.targets.some((target) => target.name === record.target) === true;
  if (contract === undefined || !isTarget || state.claims.has(key)) return state;
  const others = record.otherwiseUnavailable.filter((target) => target !== record.target);
  const unavailable = unavailableTargets(state, contract, others);
  if (unavailable.size + 1 > ejectionBudget(contract)) return state;
  const lease: EjectionLease = {
    service: record.service,
    target: record.target,
    holder: record.holder,
    expiresAt: timestamp + record.leaseMilliseconds + LEASE_MARGIN_MILLISECONDS,
    isRevoked: false,
  };
  return { ...state, claims: withEntry(state.claims, key, lease) };
}

/** Extends all leases of one holder that were not revoked. */
export function foldRenewal(
  state: ConfigurationState,
  record: RenewalRecord,
  timestamp: number,
): ConfigurationState {
  const end = timestamp + record.leaseMilliseconds + LEASE_MARGIN_MILLISECONDS;
  const claims = new Map(
    [...state.claims].map(([key, lease]) =>
      lease.holder === record.holder && !lease.isRevoked
        ? [key, { ...lease, expiresAt: Math.max(lease.expiresAt, end) }]
        : [key, lease],
    ),
  );
  return { ...state, claims };
}

/** Ends a lease; only its holder may return it. */
export function foldReturn(state: ConfigurationState, record: ReturnRecord): ConfigurationState {
  const key = targetKey(record.service, record.target);
  if (state.claims.get(key)?.holder !== record.holder) return state;
  return { ...state, claims: withoutEntry(state.claims, key) };
}

function excessLeases(state: ConfigurationState, contract: Contract): readonly EjectionLease[] {
  const unavailableCount = unavailableTargets(state, contract, []).size;
  const excess = unavailableCount - ejectionBudget(contract);
  if (excess <= 0) return [];
  return [...state.claims.values()]
    .filter((lease) => lease.service === contract.service)
    .slice(-excess);
}

/** Revokes the leases that exceed the budget after a raised floor or a drained target. */
export function revokeExcessLeases(state: ConfigurationState): ConfigurationState {
  if (state.claims.size === 0) return state;
  const excess = [...state.contracts.values()].flatMap((contract) => excessLeases(state, contract));
  const claims = excess.reduce<ConfigurationState['claims']>(
    (map, lease) =>
      withEntry(map, targetKey(lease.service, lease.target), { ...lease, isRevoked: true }),
    state.claims,
  );
  return { ...state, claims };
}
