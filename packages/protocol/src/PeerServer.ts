/** Server of the gRPC service between daemons. */
import type { Stop } from '@cactusrun/core';
import { CactusrunError, describeError } from '@cactusrun/core';
import type {
  ServerDuplexStream,
  ServerUnaryCall,
  UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { Server, ServerCredentials, status } from '@grpc/grpc-js';
import { SERVER_OPTIONS } from './channelOptions.js';
import type {
  Acknowledgement,
  AnswerFrame,
  CrashReport,
  InspectReply,
  InspectRequest,
  RequestFrame,
  ShardHandover,
  SynchroniseReply,
  SynchroniseRequest,
} from './generated/cactusrun/v1/peer_pb.js';
import PEER_SERVICE from './serviceDefinition.js';

/** Wait for calls in flight before the server closes them. */
const SHUTDOWN_TIMEOUT_MILLISECONDS = 100;

/** Bidirectional stream of one request between daemons, on the server side. */
export type AnswerStream = ServerDuplexStream<RequestFrame, AnswerFrame>;

/** Handlers of the calls that peers make. */
export interface PeerHandlers {
  dispatch(stream: AnswerStream): void;
  forward(stream: AnswerStream): void;
  synchronise(request: SynchroniseRequest): Promise<SynchroniseReply>;
  reportCrash(report: CrashReport): Promise<Acknowledgement>;
  handOver(handover: ShardHandover): Promise<Acknowledgement>;
  inspect(request: InspectRequest): Promise<InspectReply>;
}

type Callback<Reply> = (error: { code: number; details: string } | null, reply?: Reply) => void;

function createUnaryHandler<Request, Reply>(handler: (request: Request) => Promise<Reply>) {
  return (call: ServerUnaryCall<Request, Reply>, callback: Callback<Reply>): void => {
    handler(call.request).then(
      (reply) => callback(null, reply),
      (error: unknown) => callback({ code: status.INTERNAL, details: describeError(error) }),
    );
  };
}

function bind(server: Server, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
      if (error === null) resolve(port);
      else
        reject(
          new CactusrunError(error.message, { step: 'binding the peer server', peer: address }),
        );
    });
  });
}

/**
 * Serves peers until the returned function is called, which waits for the calls in flight.
 *
 * @param address - `ip:port` to listen on
 * @throws CactusrunError when the address cannot be bound
 */
export async function startPeerServer(address: string, handlers: PeerHandlers): Promise<Stop> {
  const server = new Server(SERVER_OPTIONS);
  const implementation = {
    dispatch: (stream: AnswerStream) => handlers.dispatch(stream),
    forward: (stream: AnswerStream) => handlers.forward(stream),
    synchronise: createUnaryHandler((request: SynchroniseRequest) => handlers.synchronise(request)),
    reportCrash: createUnaryHandler((report: CrashReport) => handlers.reportCrash(report)),
    handOver: createUnaryHandler((handover: ShardHandover) => handlers.handOver(handover)),
    inspect: createUnaryHandler((request: InspectRequest) => handlers.inspect(request)),
  };
  server.addService(PEER_SERVICE, implementation as unknown as UntypedServiceImplementation);
  await bind(server, address);
  return () =>
    new Promise((resolve) => {
      const forceTimer = setTimeout(() => server.forceShutdown(), SHUTDOWN_TIMEOUT_MILLISECONDS);
      server.tryShutdown(() => {
        clearTimeout(forceTimer);
        resolve();
      });
    });
}
