/** The client side of the service between daemons: the connections to one peer. */
import type { ChannelInterface, ClientDuplexStream, ServiceError } from '@grpc/grpc-js';
import { connectivityState, credentials, makeClientConstructor, Metadata } from '@grpc/grpc-js';
import { CactusrunError } from '@cactusrun/core';
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
import { CLIENT_OPTIONS } from './channelOptions.js';
import PEER_SERVICE from './serviceDefinition.js';

/** The two directions of one request between daemons, as the calling side sees them. */
export type RequestStream = ClientDuplexStream<RequestFrame, AnswerFrame>;

/** Long bodies travel on a connection of their own, so that short requests do not wait for them. */
export type Lane = 'short' | 'bulk';

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
  private readonly clients = new Map<Lane, GeneratedClient>();

  /** @param address - `ip:port` of the peer, as it is reached from here */
  constructor(public readonly address: string) {}

  /** Whether the connection is up, or comes up within the time. */
  public isReady(lane: Lane, limitMilliseconds: number): Promise<boolean> {
    const client = this.client(lane);
    const state = client.getChannel().getConnectivityState(true);
    if (state === connectivityState.READY) return Promise.resolve(true);
    return new Promise((resolve) => {
      client.waitForReady(Date.now() + limitMilliseconds, (error) => {
        resolve(error === undefined);
      });
    });
  }

  /** Opens the stream of a request to the keeper of a shard. The limit is in milliseconds. */
  public dispatch(lane: Lane, limitMilliseconds: number): RequestStream {
    return this.client(lane).dispatch(new Metadata(), {
      deadline: Date.now() + limitMilliseconds,
    });
  }

  /** Opens the stream of a request to the daemon that its ticket names. */
  public forward(lane: Lane, limitMilliseconds: number): RequestStream {
    return this.client(lane).forward(new Metadata(), { deadline: Date.now() + limitMilliseconds });
  }

  public synchronise(request: SynchroniseRequest, limitMilliseconds: number) {
    return this.call<SynchroniseReply>('synchronise', request, limitMilliseconds);
  }

  public reportCrash(report: CrashReport, limitMilliseconds: number) {
    return this.call<Acknowledgement>('reportCrash', report, limitMilliseconds);
  }

  public handOver(handover: ShardHandover, limitMilliseconds: number) {
    return this.call<Acknowledgement>('handOver', handover, limitMilliseconds);
  }

  public inspect(request: InspectRequest, limitMilliseconds: number) {
    return this.call<InspectReply>('inspect', request, limitMilliseconds);
  }

  public close(): void {
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }

  private client(lane: Lane): GeneratedClient {
    const client = this.clients.get(lane) ?? createClient(this.address);
    this.clients.set(lane, client);
    return client;
  }

  private call<Reply>(method: string, request: unknown, limitMilliseconds: number) {
    const client = this.client('short');
    const invoke = client[method] as UnaryMethod;
    return new Promise<Reply>((resolve, reject) => {
      const options = { deadline: Date.now() + limitMilliseconds };
      invoke.call(client, request, new Metadata(), options, (error, reply) => {
        if (error === null) resolve(reply as Reply);
        else {
          const place = { step: `calling ${method}`, peer: this.address };
          reject(new CactusrunError(error.details, place, error));
        }
      });
    });
  }
}
