/** The statements of the operators' language as typed values. */
import type { ContractPatch, Operation } from '@cactusrun/configuration';
import type { Route, Target } from '@cactusrun/core';

export type Query =
  | { readonly kind: 'show-contracts' }
  | { readonly kind: 'show-contract'; readonly service: string }
  | { readonly kind: 'show-targets'; readonly service: string | undefined }
  | { readonly kind: 'show-target'; readonly service: string; readonly target: string }
  | { readonly kind: 'show-hosts' }
  | { readonly kind: 'show-counters'; readonly service: string | undefined }
  | { readonly kind: 'show-routes' }
  | { readonly kind: 'show-changes' }
  | { readonly kind: 'show-holds' }
  | { readonly kind: 'show-revision' };

export type QueryKind = Query['kind'];

/** One clause inside the braces of CREATE CONTRACT or CHANGE CONTRACT. */
export type Clause =
  | { readonly kind: 'setting'; readonly patch: ContractPatch }
  | { readonly kind: 'add-target'; readonly target: Target }
  | { readonly kind: 'remove-target'; readonly target: string }
  | { readonly kind: 'add-route'; readonly route: Route }
  | { readonly kind: 'remove-route'; readonly pathPrefix: string };

export type Command =
  | {
      readonly kind: 'create-contract';
      readonly service: string;
      readonly clauses: readonly Clause[];
    }
  | {
      readonly kind: 'change-contract';
      readonly service: string;
      readonly clauses: readonly Clause[];
    }
  | Extract<
      Operation,
      { kind: 'withdraw-contract' | 'drain-target' | 'return-target' | 'lift-hold' }
    >;

export type Statement =
  | { readonly kind: 'query'; readonly query: Query }
  | { readonly kind: 'command'; readonly command: Command };
