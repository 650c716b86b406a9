/**
 * Simulates one target of a service: slots, processing time, probes, load reports, draining, cold
 * start, and gray failures. It records the requests that it ran, so that tests can check them at the
 * target itself.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Random, Stop } from '@cactusrun/core';
import startHttpServer from './startHttpServer.js';

/** The faults that are active. */
export interface UpstreamFaults {
  /** Requests never finish; probes are still answered. */
  stalls: boolean;
  /** The processing time is multiplied by this. */
  slowFactor: number;
  /** Fraction of the requests that get an error response. */
  errorRate: number;
  /** Availability zones of callers whose requests stall. */
  stalledZones: readonly string[];
  /** A request whose body has this text in its first bytes crashes the process. */
  crashText: string | undefined;
  /** Connections are closed in the middle of a response. */
  cutsAnswers: boolean;
  /** The load report is always 0. */
  reportsIdle: boolean;
  /** Age of the load in the load report. */
  reportLagMilliseconds: number;
  isDraining: boolean;
}

export interface StandInUpstreamOptions {
  readonly name: string;
  readonly address: string;
  readonly slots: number;
  /** Mean processing time of one request. */
  readonly workMilliseconds: number;
  readonly coldMilliseconds: number;
  readonly clock: Clock;
  readonly random: Random;
}

/** A request that the target ran, with the identity from its caller. */
export interface RunRecord {
  readonly identity: string;
  readonly isWhole: boolean;
  /** Time at which processing started, on the upstream's clock. */
  readonly startedAt: number;
}

/** Headers of the protocol with upstreams. */
export const IDENTITY_HEADER = 'x-request-identity';
export const STATE_HEADER = 'upstream-state';
/** Identifies one attempt of the daemon; the answer repeats it. */
export const REQUEST_ID_HEADER = 'cactusrun-request-id';
/** Processing time at the target, in milliseconds. */
export const WORK_HEADER = 'x-work-milliseconds';
const ZONE_HEADER = 'cactusrun-caller-zone';

const HTTP_STATUS = { ok: 200, error: 500, unavailable: 503 } as const;
const PROBE_MILLISECONDS = 25;
const MAXIMUM_CONNECTIONS = 330;
const HISTORY_LENGTH = 10_000;
const COLD_FACTOR = 3;
const RESTART_MILLISECONDS = 500;

export default class StandInUpstream {
  public readonly faults: UpstreamFaults = {
    stalls: false,
    slowFactor: 1,
    errorRate: 0,
    stalledZones: [],
    crashText: undefined,
    cutsAnswers: false,
    reportsIdle: false,
    reportLagMilliseconds: 0,
    isDraining: false,
  };

  /** Requests whose processing started, in order. */
  public readonly runs: RunRecord[] = [];

  /** Maximum number of requests that ran concurrently. */
  public maximumRunning = 0;

  /** Requests that were shed because all slots were taken. */
  public requestsOverLimit = 0;

  public crashes = 0;

  private running = 0;

  /** Past values of `running` with the time of each change, for stale load reports. */
  private readonly history: { readonly since: number; readonly running: number }[] = [];

  private startedAt = 0;

  private stopServer: Stop | undefined;

  constructor(private readonly options: StandInUpstreamOptions) {}

  /** Starts serving; the returned function stops it. */
  public async start(): Promise<Stop> {
    await this.listen();
    return async () => {
      await this.stopServer?.();
      this.stopServer = undefined;
    };
  }

  /** Simulates a crash: closes every connection, and restarts after a delay. */
  public async crash(): Promise<void> {
    this.crashes += 1;
    const stop = this.stopServer;
    if (stop === undefined) return;
    this.stopServer = undefined;
    await stop();
    this.running = 0;
    await this.options.clock.sleep(RESTART_MILLISECONDS);
    await this.listen();
  }

  private async listen(): Promise<void> {
    this.startedAt = this.options.clock.now();
    const serve = (request: IncomingMessage, response: ServerResponse) => {
      this.serve(request, response).catch(() => response.socket?.destroy());
    };
    this.stopServer = await startHttpServer(this.options.address, serve, MAXIMUM_CONNECTIONS);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = request.headers[REQUEST_ID_HEADER];
    if (requestId !== undefined) response.setHeader(REQUEST_ID_HEADER, requestId);
    if (request.url === '/.health') await this.serveProbe(response);
    else if (this.faults.isDraining) shed(response, 'draining');
    else if (this.running >= this.options.slots) {
      this.requestsOverLimit += 1;
      shed(response, 'shed');
    } else await this.serveWork(request, response);
  }

  private async serveProbe(response: ServerResponse): Promise<void> {
    await this.options.clock.sleep(PROBE_MILLISECONDS);
    const load = this.faults.reportsIdle ? 0 : this.runningInLoadReport() / this.options.slots;
    response.writeHead(HTTP_STATUS.ok, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ load, isDraining: this.faults.isDraining }));
  }

  private async serveWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = this.options.clock.now();
    this.changeRunning(1);
    this.maximumRunning = Math.max(this.maximumRunning, this.running);
    let isCounted = true;
    response.on('close', () => {
      if (isCounted) this.changeRunning(-1);
      isCounted = false;
    });
    const identity = String(request.headers[IDENTITY_HEADER] ?? '');
    const body = await digestBody(request);
    this.runs.push({ identity, isWhole: request.complete, startedAt: this.options.clock.now() });
    if (this.triggersCrash(body.text)) {
      await this.crash();
      return;
    }
    if (this.isStalled(request)) return;
    await this.options.clock.sleep(this.workDurationMilliseconds());
    response.setHeader(WORK_HEADER, (this.options.clock.now() - startedAt).toFixed(3));
    this.answer(request, response, identity, body);
  }

  private runningInLoadReport(): number {
    const { clock } = this.options;
    const { reportLagMilliseconds } = this.faults;
    if (reportLagMilliseconds === 0) return this.running;
    const cutoff = clock.now() - reportLagMilliseconds;
    return this.history.findLast(({ since }) => since <= cutoff)?.running ?? 0;
  }

  private changeRunning(change: 1 | -1): void {
    this.running = Math.max(0, this.running + change);
    this.history.push({ since: this.options.clock.now(), running: this.running });
    if (this.history.length > HISTORY_LENGTH) this.history.shift();
  }

  private triggersCrash(text: string): boolean {
    return this.faults.crashText !== undefined && text.includes(this.faults.crashText);
  }

  private isStalled(request: IncomingMessage): boolean {
    const zone = String(request.headers[ZONE_HEADER] ?? '');
    return this.faults.stalls || this.faults.stalledZones.includes(zone);
  }

  private workDurationMilliseconds(): number {
    const { clock, random, workMilliseconds, coldMilliseconds } = this.options;
    const isCold = clock.now() - this.startedAt < coldMilliseconds;
    const factor = this.faults.slowFactor * (isCold ? COLD_FACTOR : 1);
    return workMilliseconds * factor * (0.5 + random.unit());
  }

  private answer(
    request: IncomingMessage,
    response: ServerResponse,
    identity: string,
    body: DigestedBody,
  ): void {
    const isError = this.options.random.unit() < this.faults.errorRate;
    const answer = JSON.stringify({
      identity,
      target: this.options.name,
      method: request.method,
      path: request.url,
      bytes: body.bytes,
      digest: body.digest,
    });
    response.writeHead(isError ? HTTP_STATUS.error : HTTP_STATUS.ok, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(answer),
    });
    if (this.faults.cutsAnswers) {
      response.write(answer.slice(0, answer.length / 2), () => response.socket?.destroy());
    } else response.end(answer);
  }
}

interface DigestedBody {
  readonly bytes: number;
  readonly digest: string;
  /** The first bytes of the body, to search for `crashText`. */
  readonly text: string;
}

const BODY_TEXT_BYTES = 4096;

async function digestBody(request: IncomingMessage): Promise<DigestedBody> {
  const hash = createHash('sha256');
  let bytes = 0;
  let text = '';
  request.on('data', (chunk: Buffer) => {
    hash.update(chunk);
    bytes += chunk.length;
    if (text.length < BODY_TEXT_BYTES) text += chunk.toString('latin1');
  });
  await new Promise<void>((resolve, reject) => {
    request.on('end', resolve);
    request.on('error', reject);
    request.on('close', () =>
      reject(new Error('the connection closed before the request was complete')),
    );
  });
  return { bytes, digest: hash.digest('hex'), text };
}

function shed(response: ServerResponse, state: 'shed' | 'draining'): void {
  response.writeHead(HTTP_STATUS.unavailable, { [STATE_HEADER]: state, 'retry-after': '1' });
  response.end();
}
