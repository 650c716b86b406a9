/** Forwards requests to the daemon that issued their ticket, and serves forwarded requests. */
import type { Clock, Counters } from '@cactusrun/core';
import type { Membership } from '@cactusrun/membership';
import type { AnswerStream } from '@cactusrun/protocol';
import type { TicketFields } from '@cactusrun/requests';
import type { CallerAnswer, CallerRequest } from './CallerRequest.js';
import { refused } from './CallerRequest.js';
import { forwardFrame, fromFields } from './frames.js';
import type PeerClients from './PeerClients.js';
import { exchangeFrames, remainingUntil } from './sendFrames.js';
import { serveFrames } from './serveFrames.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const STREAM_GRACE_MILLISECONDS = 500;

export interface RequestForwarderOptions {
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly counters: Counters;
}

export default class RequestForwarder {
  constructor(private readonly options: RequestForwarderOptions) {}

  /** Forwards the request. Without an answer its outcome is unknown: it may have run before. */
  public async forward(
    ticketFields: TicketFields,
    request: CallerRequest,
    deadline: number,
  ): Promise<CallerAnswer> {
    const { membership, clients, clock } = this.options;
    const owner = membership.findIncarnation(ticketFields.incarnation);
    if (owner === undefined) {
      const successor = membership.members().find(({ host }) => host.name === ticketFields.host);
      const isReplaced =
        successor !== undefined && successor.host.incarnation !== ticketFields.incarnation;
      return refused(isReplaced ? 'owner-gone' : 'owner-unreachable', ticketFields.host);
    }
    const client = clients.to(owner.host);
    const connectionClass = request.body.isWhole ? 'short' : 'bulk';
    const remaining = remainingUntil(clock, deadline);
    if (
      !(await client.isReady(connectionClass, Math.min(remaining, CONNECT_TIMEOUT_MILLISECONDS)))
    ) {
      return refused('owner-unreachable', ticketFields.host);
    }
    return exchangeFrames({
      stream: client.forward(connectionClass, remaining + STREAM_GRACE_MILLISECONDS),
      first: forwardFrame(request, remainingUntil(clock, deadline)),
      body: request.body,
      signal: request.signal,
      clock,
      onProceed: () => {},
      lostReason: 'owner-unreachable',
    });
  }
}

/** Serves a request that another daemon forwarded. */
export function serveForwarded(
  stream: AnswerStream,
  handle: (request: CallerRequest) => Promise<CallerAnswer>,
): void {
  serveFrames(stream, (received) => {
    const { head, body, signal, proceed } = received;
    if (!body.isWhole) proceed();
    return handle({
      method: head.method,
      path: head.path,
      headers: fromFields(head.headers),
      body,
      workspace: head.workspace,
      caller: head.caller,
      callerZone: head.callerZone,
      ticket: head.ticket,
      timeoutMilliseconds: head.remainingMilliseconds,
      signal,
      isForwarded: true,
    });
  });
}
