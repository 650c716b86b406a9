/** Tells callers which addresses to use for a service, and gives them a ticket for this daemon. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ConfigurationStore } from '@cactusrun/configuration';
import type { Counters, Host, Random } from '@cactusrun/core';
import { shuffle } from '@cactusrun/core';
import type { Member, Membership } from '@cactusrun/membership';

export const DIRECTORY_PATH = '/.well-known/cactusrun/directory';
/** How long a caller may keep an answer; a leaving host goes on serving for this long. */
export const DIRECTORY_SECONDS = 5;
const MAXIMUM_ADDRESSES = 8;
const LOAD_STEP_PERCENT = 25;

const HTTP_STATUS = { ok: 200, notFound: 404, notReady: 503 } as const;
const ERRORS: Readonly<Record<number, string>> = {
  [HTTP_STATUS.notFound]: 'no such service in force',
  [HTTP_STATUS.notReady]: 'this host has no configuration yet: ask another one',
};

export interface CallerDirectoryOptions {
  readonly self: Host;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly random: Random;
  readonly counters: Counters;
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
  /** Best first. */
  readonly addresses: readonly DirectoryAddress[];
  readonly timeToLiveSeconds: number;
  readonly revision: number;
  /** For one non-idempotent request, to be sent to `ticketAddress`. */
  readonly ticket: string;
  readonly ticketAddress: string;
}

export default class CallerDirectory {
  constructor(private readonly options: CallerDirectoryOptions) {}

  /** The answer for a caller of that zone. */
  public answer(service: string, zone: string | undefined): DirectoryAnswer {
    const { self, store, membership, random, issueTicket } = this.options;
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
      timeToLiveSeconds: DIRECTORY_SECONDS,
      revision: store.current.revision,
      ticket: issueTicket(),
      ticketAddress: self.callerAddress,
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
        : { error: ERRORS[status] };
    this.options.counters.add('directory', String(status));
    const text = `${JSON.stringify(body)}\n`;
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(status === HTTP_STATUS.ok ? { 'cache-control': `max-age=${DIRECTORY_SECONDS}` } : {}),
    });
    response.end(text);
  }

  private statusFor(service: string): (typeof HTTP_STATUS)[keyof typeof HTTP_STATUS] {
    const { store } = this.options;
    if (!store.isReady) return HTTP_STATUS.notReady;
    return store.current.contracts.has(service) ? HTTP_STATUS.ok : HTTP_STATUS.notFound;
  }
}

/** Near before far; of those as near, the less busy ones. */
function rankOf(member: Member, zone: string, region: string): number {
  const { host, loadPercent, state } = member;
  const elsewhere = host.region === region ? 1 : 2;
  const distance = host.zone === zone ? 0 : elsewhere;
  const load = Math.floor(loadPercent / LOAD_STEP_PERCENT) / 10;
  return distance + load + (state === 'suspect' ? 5 : 0);
}
