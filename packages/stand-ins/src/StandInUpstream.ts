/**
 * A stand-in for one target of a service: slots, work that takes time, probes, load reports, drain
 * and cold start, with the gray failures of the brief. It counts what it ran, so that a test can
 * ask the target itself.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Random, Stop } from '@cactusrun/core';
import startHttpServer from './startHttpServer.js';

/** What is wrong with the target now. */
export interface UpstreamFaults {
  /** Real work never ends; probes are answered. */
  stalls: boolean;
  /** Work takes this many times as long. */
  slowFactor: number;
  /** Share of the requests answered with an error. */
  errorRate: number;
  /** Callers' availability zones that are not served; their work stalls. */
  refusedZones: readonly string[];
  /** Bodies with this text break the process. */
  crashText: string | undefined;
  /** Connections are cut in the middle of an answer. */
  cutsAnswers: boolean;
  /** The load report says idle, whatever the load. */
  reportsIdle: boolean;
  /** The load report is this old. */
  reportLagMilliseconds: number;
  isDraining: boolean;
}

export interface StandInUpstreamOptions {
  readonly name: string;
  readonly address: string;
  readonly slots: number;
  /** Mean time of one request. */
  readonly workMilliseconds: number;
  readonly coldMilliseconds: number;
  readonly clock: Clock;
  readonly random: Random;
}

/** One request that the target ran, by the identity that its caller gave. */
export interface RunRecord {
  readonly identity: string;
  readonly isWhole: boolean;
  /** Time of the upstream's clock at which the work was begun. */
  readonly startedAt: number;
}

/** Headers of the protocol with upstreams. */
export const IDENTITY_HEADER = 'x-request-identity';
export const STATE_HEADER = 'upstream-state';
/** How long the target worked, in milliseconds. */
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
    refusedZones: [],
    crashText: undefined,
    cutsAnswers: false,
    reportsIdle: false,
    reportLagMilliseconds: 0,
    isDraining: false,
  };

  /** Requests whose work was begun, in order. */
  public readonly runs: RunRecord[] = [];

  /** Most requests that ran at the same time. */
  public peak = 0;

  /** Requests that came while every slot was taken. */
  public overLimit = 0;

  public crashes = 0;

  private running = 0;

  /** Requests that ran, with the time since when, for reports that lag. */
  private readonly history: { readonly since: number; readonly running: number }[] = [];

  private startedAt = 0;

  private stopServer: Stop | undefined;

  constructor(private readonly options: StandInUpstreamOptions) {}

  /** Serves until the returned function is called. */
  public async start(): Promise<Stop> {
    await this.listen();
    return async () => {
      await this.stopServer?.();
      this.stopServer = undefined;
    };
  }

  /** Breaks the process: every connection is cut, and it starts again a little later. */
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
    if (request.url === '/.health') await this.serveProbe(response);
    else if (this.faults.isDraining) shed(response, 'draining');
    else if (this.running >= this.options.slots) {
      this.overLimit += 1;
      shed(response, 'shed');
    } else await this.serveWork(request, response);
  }

  private async serveProbe(response: ServerResponse): Promise<void> {
    await this.options.clock.sleep(PROBE_MILLISECONDS);
    const load = this.faults.reportsIdle ? 0 : this.reportedRunning() / this.options.slots;
    response.writeHead(HTTP_STATUS.ok, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ load, isDraining: this.faults.isDraining }));
  }

  private async serveWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = this.options.clock.now();
    this.noteRunning(1);
    this.peak = Math.max(this.peak, this.running);
    let isCounted = true;
    response.on('close', () => {
      if (isCounted) this.noteRunning(-1);
      isCounted = false;
    });
    const identity = String(request.headers[IDENTITY_HEADER] ?? '');
    const body = await digestBody(request);
    this.runs.push({ identity, isWhole: request.complete, startedAt: this.options.clock.now() });
    if (this.isCrashing(body.text)) {
      await this.crash();
      return;
    }
    if (this.isStalled(request)) return;
    await this.options.clock.sleep(this.workTime());
    response.setHeader(WORK_HEADER, (this.options.clock.now() - startedAt).toFixed(3));
    this.answer(request, response, identity, body);
  }

  private reportedRunning(): number {
    const { clock } = this.options;
    const { reportLagMilliseconds } = this.faults;
    if (reportLagMilliseconds === 0) return this.running;
    const cutoff = clock.now() - reportLagMilliseconds;
    return this.history.findLast(({ since }) => since <= cutoff)?.running ?? 0;
  }

  private noteRunning(change: 1 | -1): void {
    this.running = Math.max(0, this.running + change);
    this.history.push({ since: this.options.clock.now(), running: this.running });
    if (this.history.length > HISTORY_LENGTH) this.history.shift();
  }

  private isCrashing(text: string): boolean {
    return this.faults.crashText !== undefined && text.includes(this.faults.crashText);
  }

  private isStalled(request: IncomingMessage): boolean {
    const zone = String(request.headers[ZONE_HEADER] ?? '');
    return this.faults.stalls || this.faults.refusedZones.includes(zone);
  }

  private workTime(): number {
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
  /** The beginning of the body. */
  readonly text: string;
}

const TEXT_BYTES = 4096;

async function digestBody(request: IncomingMessage): Promise<DigestedBody> {
  const hash = createHash('sha256');
  let bytes = 0;
  let text = '';
  request.on('data', (chunk: Buffer) => {
    hash.update(chunk);
    bytes += chunk.length;
    if (text.length < TEXT_BYTES) text += chunk.toString('latin1');
  });
  await new Promise<void>((resolve, reject) => {
    request.on('end', resolve);
    request.on('error', reject);
    request.on('close', () => reject(new Error('request cut')));
  });
  return { bytes, digest: hash.digest('hex'), text };
}

function shed(response: ServerResponse, state: 'shed' | 'draining'): void {
  response.writeHead(HTTP_STATUS.unavailable, { [STATE_HEADER]: state, 'retry-after': '1' });
  response.end();
}
