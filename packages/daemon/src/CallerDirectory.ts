/** Serves the addresses that callers should use for a service, with a ticket of this daemon. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ConfigurationStore } from '@cactusrun/configuration';
import type { Counters, Host, Random } from '@cactusrun/core';
import { shuffle } from '@cactusrun/core';
import type { Member, Membership } from '@cactusrun/membership';
import type StopGate from './StopGate.js';

export const DIRECTORY_PATH = '/.well-known/cactusrun/directory';
/** How long a caller may cache an answer; a host that shuts down keeps serving for this long. */
export const DIRECTORY_TTL_SECONDS = 5;
const MAXIMUM_ADDRESSES = 8;
const LOAD_STEP_PERCENT = 25;

const HTTP_STATUS = { ok: 200, notFound: 404, notReady: 503 } as const;
const ERROR_MESSAGES: Readonly<Record<number, string>> = {
  [HTTP_STATUS.notFound]: 'no such service in force',
  [HTTP_STATUS.notReady]: 'this host has no configuration yet: ask another one',
};

export interface CallerDirectoryOptions {
  readonly self: Host;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly random: Random;
  readonly counters: Counters;
  readonly gate: Pick<StopGate, 'isStopping'>;
  readonly issueTicket: () => string;
}

/** One address of the answer. */
export interface DirectoryAddress {
  readonly address: string;
  readonly zone: string;
  readonly region: string;
}

export interface DirectoryAnswer {
  readonly service: string;
  /** In order of preference. */
  readonly addresses: readonly DirectoryAddress[];
  readonly timeToLiveSeconds: number;
  readonly revision: number;
  /** Ticket for one non-idempotent request to `ticketAddress`; none of a host that leaves. */
  readonly ticket?: string;
  readonly ticketAddress?: string;
}

export default class CallerDirectory {
  constructor(private readonly options: CallerDirectoryOptions) {}

  /** Creates the answer for a caller in the zone. */
  public answer(service: string, zone: string | undefined): DirectoryAnswer {
    const { self, store, membership, random, gate, issueTicket } = this.options;
    const region = membership.members().find(({ host }) => host.zone === zone)?.host.region;
    const ranked = shuffle(random, membership.serving())
      .map((member) => ({ member, rank: rankOf(member, zone ?? self.zone, region ?? self.region) }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ member }) => member.host);
    return {
      service,
      addresses: ranked.slice(0, MAXIMUM_ADDRESSES).map((host) => ({
        address: host.callerAddress,
        zone: host.zone,
        region: host.region,
      })),
      timeToLiveSeconds: DIRECTORY_TTL_SECONDS,
      revision: store.current.revision,
      ...(gate.isStopping ? {} : { ticket: issueTicket(), ticketAddress: self.callerAddress }),
    };
  }

  /** Serves `GET /.well-known/cactusrun/directory?service=…&zone=…`. */
  public serve(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://directory');
    const service = url.searchParams.get('service') ?? '';
    const status = this.statusFor(service);
    const body =
      status === HTTP_STATUS.ok
        ? this.answer(service, url.searchParams.get('zone') ?? undefined)
        : { error: ERROR_MESSAGES[status] };
    this.options.counters.add('directory', String(status));
    const text = `${JSON.stringify(body)}\n`;
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(status === HTTP_STATUS.ok ? { 'cache-control': `max-age=${DIRECTORY_TTL_SECONDS}` } : {}),
    });
    response.end(text);
  }

  private statusFor(service: string): (typeof HTTP_STATUS)[keyof typeof HTTP_STATUS] {
    const { store } = this.options;
    if (!store.isReady) return HTTP_STATUS.notReady;
    return store.current.contracts.has(service) ? HTTP_STATUS.ok : HTTP_STATUS.notFound;
  }
}

/** Ranks by distance, then by load; suspect members rank last. */
function rankOf(member: Member, zone: string, region: string): number {
  const { host, loadPercent, state } = member;
  const remoteDistance = host.region === region ? 1 : 2;
  const distance = host.zone === zone ? 0 : remoteDistance;
  const load = Math.floor(loadPercent / LOAD_STEP_PERCENT) / 10;
  return distance + load + (state === 'suspect' ? 5 : 0);
}
