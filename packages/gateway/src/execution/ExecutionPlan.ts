/** What is decided about a request before it is executed on targets. */
import type { CallerExchange } from '../callers/CallerExchange.js';
import type { HeaderFields, OutgoingRequest } from '../connections/TargetAttempt.js';
import type { GatewayRoute } from '../state/GatewayConfiguration.js';
import { isRepeatable } from '../state/GatewayConfiguration.js';
import type { Workspace } from '../workspaces/Workspace.js';

export interface ExecutionPlan {
  readonly exchange: CallerExchange;
  readonly route: GatewayRoute;
  readonly service: string;
  /** Fields of the request for targets. */
  readonly fields: HeaderFields;
  /** Urgency of the request; 0 is the most urgent. */
  readonly priority: number;
  /** Workspace of the caller, where callers have one. */
  readonly workspace: Workspace | undefined;
  /** Whether callers need the key of a workspace. */
  readonly needsAuthorization: boolean;
  /** Identifies the request by what stays the same when its caller retries. */
  readonly fingerprint: string;
  /** Version of the configuration that the route belongs to. */
  readonly version: number;
  /** Monotonic time by which the caller needs its answer. */
  readonly deadline: number;
}

/** Whether the request may be executed more than once. */
export function isIdempotent({ route }: ExecutionPlan): boolean {
  return isRepeatable(route.kind);
}

/** The kind of connection on which the request is sent. */
export function sendKindOf(plan: ExecutionPlan): OutgoingRequest['kind'] {
  return isIdempotent(plan) ? 'repeatable' : 'once';
}
