/**
 * Simulates the platform over HTTP: an append-only log with offsets, a retention period and an
 * append rate limit, and a list of hosts that may be stale. Tests set the faults.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Stop } from '@cactusrun/core';
import startHttpServer from './startHttpServer.js';

/** The faults that are active. */
export interface PlatformFaults {
  /** Connections are closed without a response. */
  isDown: boolean;
  /** Delay of each response. */
  delayMilliseconds: number;
  /** Appends take effect, but their responses are lost. */
  losesAppendReplies: boolean;
  /** Age of the host list that is served. */
  hostListLagMilliseconds: number;
}

export interface StandInPlatformOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly clock: Clock;
  readonly retentionMilliseconds: number;
  readonly appendsPerSecond: number;
}

interface LogRecord {
  readonly offset: number;
  readonly timestamp: number;
  readonly data: string;
}

export interface StandInHost {
  readonly name: string;
  readonly kind: 'entry' | 'upstream';
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

interface HostListVersion {
  readonly since: number;
  readonly hosts: readonly StandInHost[];
}

const MAXIMUM_RECORDS_PER_PAGE = 500;
const MAXIMUM_RECORD_BYTES = 1024 * 1024;
const MILLISECONDS_PER_SECOND = 1_000;

const HTTP_STATUS = { ok: 200, created: 201, notFound: 404, tooLarge: 413, tooMany: 429 } as const;

export default class StandInPlatform {
  public readonly faults: PlatformFaults = {
    isDown: false,
    delayMilliseconds: 0,
    losesAppendReplies: false,
    hostListLagMilliseconds: 0,
  };

  private records: LogRecord[] = [];

  private nextOffset = 0;

  private readonly appendTimes: number[] = [];

  private readonly waitingReaders = new Set<() => void>();

  private hostLists: HostListVersion[] = [{ since: Number.NEGATIVE_INFINITY, hosts: [] }];

  constructor(private readonly options: StandInPlatformOptions) {}

  /** Starts serving; the returned function stops it. */
  public start(): Promise<Stop> {
    return startHttpServer(this.options.address, (request, response) => {
      this.serve(request, response).catch(() => request.socket.destroy());
    });
  }

  /** Appends a record as an accepted HTTP append does; returns its offset. */
  public append(data: string): number {
    const offset = this.nextOffset;
    this.nextOffset += 1;
    this.records.push({ offset, timestamp: this.options.clock.wallNow(), data });
    [...this.waitingReaders].forEach((wake) => wake());
    return offset;
  }

  /** Drops every record, as happens when the whole log exceeds its retention period. */
  public dropAll(): void {
    this.records = [];
  }

  /** Replaces the host list; it is served after the lag that `faults` sets. */
  public setHosts(hosts: readonly StandInHost[]): void {
    this.hostLists.push({ since: this.options.clock.now(), hosts });
  }

  /** The records that are within the retention period. */
  public retainedRecords(): readonly LogRecord[] {
    this.dropExpired();
    return this.records;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.faults.isDown) {
      request.socket.destroy();
      return;
    }
    await this.options.clock.sleep(this.faults.delayMilliseconds);
    const url = new URL(request.url ?? '/', 'http://platform');
    const isRecordsPath = /^\/streams\/[a-z-]+\/records$/.test(url.pathname);
    if (isRecordsPath && request.method === 'POST') await this.serveAppend(request, response);
    else if (isRecordsPath && request.method === 'GET') await this.serveRead(url, response);
    else if (url.pathname === '/hosts') this.serveHosts(response);
    else respond(response, HTTP_STATUS.notFound, { error: 'not found' });
  }

  private async serveAppend(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const data = await readText(request);
    if (data.length > MAXIMUM_RECORD_BYTES) {
      respond(response, HTTP_STATUS.tooLarge, { error: 'record too large' });
      return;
    }
    if (this.isOverLimit()) {
      respond(response, HTTP_STATUS.tooMany, { error: 'too many appends' });
      return;
    }
    const offset = this.append(data);
    if (this.faults.losesAppendReplies) request.socket.destroy();
    else respond(response, HTTP_STATUS.created, { offset });
  }

  private async serveRead(url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get('from') ?? 0);
    const wait = Number(url.searchParams.get('waitMilliseconds') ?? 0);
    if (from >= this.nextOffset && wait > 0) await this.waitForAppend(wait, response);
    if (this.faults.isDown) {
      response.socket?.destroy();
      return;
    }
    this.dropExpired();
    const records = this.records
      .filter((record) => record.offset >= from)
      .slice(0, MAXIMUM_RECORDS_PER_PAGE);
    const firstOffset = this.records[0]?.offset ?? this.nextOffset;
    respond(response, HTTP_STATUS.ok, { firstOffset, nextOffset: this.nextOffset, records });
  }

  private async waitForAppend(milliseconds: number, response: ServerResponse): Promise<void> {
    const controller = new AbortController();
    const wake = () => controller.abort();
    this.waitingReaders.add(wake);
    response.on('close', wake);
    await this.options.clock.sleep(milliseconds, controller.signal);
    this.waitingReaders.delete(wake);
  }

  private serveHosts(response: ServerResponse): void {
    const cutoff = this.options.clock.now() - this.faults.hostListLagMilliseconds;
    const version = this.hostLists.findLast((list) => list.since <= cutoff);
    respond(response, HTTP_STATUS.ok, { hosts: version?.hosts ?? [] });
  }

  private isOverLimit(): boolean {
    const now = this.options.clock.now();
    while ((this.appendTimes[0] ?? now) < now - MILLISECONDS_PER_SECOND) this.appendTimes.shift();
    if (this.appendTimes.length >= this.options.appendsPerSecond) return true;
    this.appendTimes.push(now);
    return false;
  }

  private dropExpired(): void {
    const oldest = this.options.clock.wallNow() - this.options.retentionMilliseconds;
    this.records = this.records.filter((record) => record.timestamp >= oldest);
  }
}

function respond(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks = await request.toArray();
  return Buffer.concat(chunks).toString();
}
