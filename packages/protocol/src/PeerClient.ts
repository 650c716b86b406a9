/** Client of the gRPC service between daemons: the connections to one peer. */
import { CactusrunError } from '@cactusrun/core';
import type { ChannelInterface, ClientDuplexStream, ServiceError } from '@grpc/grpc-js';
import { connectivityState, credentials, makeClientConstructor, Metadata } from '@grpc/grpc-js';
import { CLIENT_OPTIONS } from './channelOptions.js';
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

/** Bidirectional stream of one request between daemons, on the client side. */
export type RequestStream = ClientDuplexStream<RequestFrame, AnswerFrame>;

/** Long bodies use a separate connection, so that short requests do not queue behind them. */
export type ConnectionClass = 'short' | 'bulk';

interface GeneratedClient {
  dispatch(metadata: Metadata, options: { deadline: number }): RequestStream;
  forward(metadata: Metadata, options: { deadline: number }): RequestStream;
  getChannel(): ChannelInterface;
  waitForReady(deadline: number, callback: (error?: Error) => void): void;
  close(): void;
  [method: string]: unknown;
}

type UnaryMethod = (
  request: unknown,
  metadata: Metadata,
  options: { deadline: number },
  callback: (error: ServiceError | null, reply: unknown) => void,
) => void;

const ClientConstructor = makeClientConstructor(PEER_SERVICE, 'cactusrun.v1.Peer');

function createClient(address: string): GeneratedClient {
  return new ClientConstructor(
    address,
    credentials.createInsecure(),
    CLIENT_OPTIONS,
  ) as unknown as GeneratedClient;
}

export default class PeerClient {
  private readonly clients = new Map<ConnectionClass, GeneratedClient>();

  /** @param address - `ip:port` at which this daemon reaches the peer */
  constructor(public readonly address: string) {}

  /** Whether the connection is up, or comes up within the timeout. */
  public isReady(connectionClass: ConnectionClass, timeoutMilliseconds: number): Promise<boolean> {
    const client = this.client(connectionClass);
    const state = client.getChannel().getConnectivityState(true);
    if (state === connectivityState.READY) return Promise.resolve(true);
    return new Promise((resolve) => {
      client.waitForReady(Date.now() + timeoutMilliseconds, (error) => {
        resolve(error === undefined);
      });
    });
  }

  /** Opens the stream of a request to a shard's keeper, which sends it to one of its targets. */
  public dispatch(connectionClass: ConnectionClass, timeoutMilliseconds: number): RequestStream {
    return this.client(connectionClass).dispatch(new Metadata(), {
      deadline: Date.now() + timeoutMilliseconds,
    });
  }

  /** Opens the stream of a request to the daemon that its ticket names. */
  public forward(connectionClass: ConnectionClass, timeoutMilliseconds: number): RequestStream {
    return this.client(connectionClass).forward(new Metadata(), {
      deadline: Date.now() + timeoutMilliseconds,
    });
  }

  public synchronise(request: SynchroniseRequest, timeoutMilliseconds: number) {
    return this.call<SynchroniseReply>('synchronise', request, timeoutMilliseconds);
  }

  public reportCrash(report: CrashReport, timeoutMilliseconds: number) {
    return this.call<Acknowledgement>('reportCrash', report, timeoutMilliseconds);
  }

  public handOver(handover: ShardHandover, timeoutMilliseconds: number) {
    return this.call<Acknowledgement>('handOver', handover, timeoutMilliseconds);
  }

  public inspect(request: InspectRequest, timeoutMilliseconds: number) {
    return this.call<InspectReply>('inspect', request, timeoutMilliseconds);
  }

  public close(): void {
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }

  private client(connectionClass: ConnectionClass): GeneratedClient {
    const client = this.clients.get(connectionClass) ?? createClient(this.address);
    this.clients.set(connectionClass, client);
    return client;
  }

  private call<Reply>(method: string, request: unknown, timeoutMilliseconds: number) {
    const client = this.client('short');
    const invoke = client[method] as UnaryMethod;
    return new Promise<Reply>((resolve, reject) => {
      const options = { deadline: Date.now() + timeoutMilliseconds };
      invoke.call(client, request, new Metadata(), options, (error, reply) => {
        if (error === null) resolve(reply as Reply);
        else {
          const context = { step: `calling ${method}`, peer: this.address };
          reject(new CactusrunError(error.details, context, error));
        }
      });
    });
  }
}
