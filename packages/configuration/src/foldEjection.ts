/**
 * Shares of the ejection budget, judged by the log's order. A share is a lease: it counts until
 * its holder returns it or the platform's time has passed its end, so that the targets ejected by
 * daemons that cannot see one another never exceed the budget.
 */
import type { Contract } from '@cactusrun/core';
import { floorOf } from '@cactusrun/core';
import type { ConfigurationState, EjectionClaim } from './ConfigurationState.js';
import { filterMap, targetKey, withEntry, withoutEntry } from './ConfigurationState.js';
import type { ClaimRecord, RenewalRecord, ReturnRecord } from './LogRecord.js';

/** Added to each lease on the platform's side, for clocks that run at different rates. */
export const LEASE_MARGIN_MILLISECONDS = 2_000;

/** Drops the claims whose lease has surely ended. */
export function expireClaims(state: ConfigurationState, timestamp: number): ConfigurationState {
  const claims = filterMap(state.claims, (claim) => claim.expiresAt > timestamp);
  return claims === state.claims ? state : { ...state, claims };
}

/** How many targets of the contract may be ejected at the same time, drained ones counted. */
export function ejectionBudget(contract: Contract): number {
  return contract.targets.length - floorOf(contract);
}

function unavailableTargets(
  state: ConfigurationState,
  contract: Contract,
  others: readonly string[],
): ReadonlySet<string> {
  const isOut = (target: string) =>
    state.claims.has(targetKey(contract.service, target)) ||
    state.drained.has(targetKey(contract.service, target)) ||
    others.includes(target);
  return new Set(contract.targets.map((target) => target.name).filter(isOut));
}

/** Folds a claim in; returns the same state when the floor or another holder stands against it. */
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
  const claim: EjectionClaim = {
    service: record.service,
    target: record.target,
    holder: record.holder,
    expiresAt: timestamp + record.leaseMilliseconds + LEASE_MARGIN_MILLISECONDS,
    isRevoked: false,
  };
  return { ...state, claims: withEntry(state.claims, key, claim) };
}

/** Extends all claims of one holder that were not revoked. */
export function foldRenewal(
  state: ConfigurationState,
  record: RenewalRecord,
  timestamp: number,
): ConfigurationState {
  const end = timestamp + record.leaseMilliseconds + LEASE_MARGIN_MILLISECONDS;
  const claims = new Map(
    [...state.claims].map(([key, claim]) =>
      claim.holder === record.holder && !claim.isRevoked
        ? [key, { ...claim, expiresAt: Math.max(claim.expiresAt, end) }]
        : [key, claim],
    ),
  );
  return { ...state, claims };
}

/** Gives a share back; only its holder may. */
export function foldReturn(state: ConfigurationState, record: ReturnRecord): ConfigurationState {
  const key = targetKey(record.service, record.target);
  if (state.claims.get(key)?.holder !== record.holder) return state;
  return { ...state, claims: withoutEntry(state.claims, key) };
}

function excessClaims(state: ConfigurationState, contract: Contract): readonly EjectionClaim[] {
  const out = unavailableTargets(state, contract, []).size;
  const excess = out - ejectionBudget(contract);
  if (excess <= 0) return [];
  return [...state.claims.values()]
    .filter((claim) => claim.service === contract.service)
    .slice(-excess);
}

/** Marks as revoked what a raised floor or a drained target leaves no room for. */
export function reviseClaims(state: ConfigurationState): ConfigurationState {
  if (state.claims.size === 0) return state;
  const excess = [...state.contracts.values()].flatMap((contract) => excessClaims(state, contract));
  const claims = excess.reduce<ConfigurationState['claims']>(
    (map, claim) =>
      withEntry(map, targetKey(claim.service, claim.target), { ...claim, isRevoked: true }),
    state.claims,
  );
  return { ...state, claims };
}
