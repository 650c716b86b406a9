/** Creates the request path of a daemon, from the callers' server to the gateway to the keepers. */
import { TicketIssuer, TicketLedger } from '@cactusrun/requests';
import CallerDirectory from './CallerDirectory.js';
import EntryServer from './EntryServer.js';
import KeeperGateway from './KeeperGateway.js';
import RequestForwarder from './RequestForwarder.js';
import RequestHandler from './RequestHandler.js';
import ShardRouter from './ShardRouter.js';
import StopGate from './StopGate.js';
import TicketedRequests from './TicketedRequests.js';
import type { Control, DaemonContext } from './wireControl.js';
import type { Targets } from './wireTargets.js';

export default function wireRequests(context: DaemonContext, control: Control, targets: Targets) {
  const { settings, host, clock, counters } = context;
  const { store, membership, clients, findHost } = control;
  const { registry } = targets;
  const gate = new StopGate(clock);
  const gateway = new KeeperGateway({ self: host.name, registry, clients, clock, counters });
  const router = new ShardRouter({
    ...context,
    registry,
    gateway,
    findHost,
    isReachable: (name) => membership.isReachable(name),
  });
  const forwarder = new RequestForwarder({ membership, clients, clock, counters });
  const tickets = new TicketedRequests({
    issuer: new TicketIssuer(host.name, host.incarnation),
    ledger: new TicketLedger(clock, counters, {
      tickets: settings.limits.tickets,
      answerBytes: settings.limits.keptAnswerBytes,
    }),
    self: host,
    gate,
    clock,
    counters,
    forward: (ticketFields, request, deadline) =>
      forwarder.forward(ticketFields, request, deadline),
  });
  const handler = new RequestHandler({ store, router, tickets, gate, clock, counters });
  const issueTicket = () => tickets.issue();
  const directory = new CallerDirectory({
    ...context,
    self: host,
    store,
    membership,
    gate,
    issueTicket,
  });
  const entry = new EntryServer({
    address: host.callerAddress,
    zone: host.zone,
    headerBytes: settings.limits.headerBytes,
    bodyBytes: settings.limits.bodyBytes,
    clock,
    counters,
    directory,
    gate,
    handle: (request) => handler.handle(request),
    issueTicket,
    mayHaveRun: (ticket) => tickets.mayHaveRun(ticket),
  });
  return { gateway, handler, entry, gate };
}
