/** Changes that operators make to the configuration. */
import type { Contract } from '@cactusrun/core';

/** The settings of a contract that CHANGE CONTRACT may replace. */
export type ContractPatch = Partial<Omit<Contract, 'service'>>;

/** One step of a change. */
export type Operation =
  | { readonly kind: 'create-contract'; readonly contract: Contract }
  | { readonly kind: 'change-contract'; readonly service: string; readonly patch: ContractPatch }
  | { readonly kind: 'withdraw-contract'; readonly service: string }
  | { readonly kind: 'drain-target'; readonly service: string; readonly target: string }
  | { readonly kind: 'return-target'; readonly service: string; readonly target: string }
  | { readonly kind: 'lift-hold'; readonly service: string; readonly fingerprint: string };

export type OperationKind = Operation['kind'];

/** Operations that are applied all together or not at all. */
export interface Change {
  /** Unique; a change that is appended twice is applied once. */
  readonly identity: string;
  readonly author: string;
  /** The revision against which the author made the change. */
  readonly baseRevision: number;
  readonly operations: readonly Operation[];
}

/** Why a change was refused. */
export type ChangeRefusal =
  | 'conflict'
  | 'contract-exists'
  | 'contract-unknown'
  | 'target-unknown'
  | 'contract-invalid'
  | 'hold-unknown'
  | 'base-too-old'
  | 'operation-unknown'
  | 'operation-invalid';

/** Whether a change was accepted, by the order of the log alone; the same on every host. */
export type ChangeVerdict =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'refused'; readonly reason: ChangeRefusal; readonly detail: string };

/** A poison request, held back because it crashed targets. */
export interface HeldRequest {
  readonly service: string;
  readonly fingerprint: string;
  /** Platform time, milliseconds since the epoch. */
  readonly expiresAt: number;
}
