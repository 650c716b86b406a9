/** The handlers of the calls that other daemons make. */
import { targetKey } from '@cactusrun/configuration';
import type { PeerHandlers } from '@cactusrun/protocol';
import { AcknowledgementSchema, create, InspectReplySchema } from '@cactusrun/protocol';
import type KeeperGateway from './KeeperGateway.js';
import type OperatorQueries from './OperatorQueries.js';
import { serveForwarded } from './RequestForwarder.js';
import type RequestHandler from './RequestHandler.js';
import type StreamCount from './StreamCount.js';
import type { Control } from './wireControl.js';
import type { Targets } from './wireTargets.js';

export interface PeerHandlerParts {
  readonly gateway: KeeperGateway;
  readonly handler: RequestHandler;
  /** Counts the requests that were forwarded here by ticket. */
  readonly forwarded: StreamCount;
  readonly sync: Control['sync'];
  readonly crashes: Targets['crashes'];
  readonly registry: Targets['registry'];
  readonly queries: OperatorQueries;
  /** Updates the kept shards to the current members. */
  readonly refresh: () => void;
}

export default function createPeerHandlers(parts: PeerHandlerParts): PeerHandlers {
  const { gateway, handler, forwarded, sync, crashes, registry, queries, refresh } = parts;
  return {
    dispatch: (stream) => gateway.serve(stream),
    forward: (stream) => {
      forwarded.add(stream);
      serveForwarded(stream, (request) => handler.handle(request));
    },
    synchronise: async (request) => sync.serve(request),
    reportCrash: async ({ service, fingerprint, crashes: count }) => {
      crashes.applyReport(targetKey(service, fingerprint), count);
      return create(AcknowledgementSchema, {});
    },
    handOver: async (handover) => {
      refresh();
      registry.applyHandover(handover);
      return create(AcknowledgementSchema, {});
    },
    inspect: async (request) => {
      const rows = await queries.answerLocally(JSON.parse(request.query));
      return create(InspectReplySchema, { json: JSON.stringify(rows) });
    },
  };
}
