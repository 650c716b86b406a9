/** A caller: looks up the address of a service in the directory, caches it and connects to it. */
import { createHash, randomUUID } from 'node:crypto';
import type { Clock, OutcomeKind } from '@cactusrun/core';
import type { DirectoryAnswer } from '@cactusrun/daemon';
import { CALLER_HEADERS, DIRECTORY_PATH } from '@cactusrun/daemon';
import { IDENTITY_HEADER, WORK_HEADER } from '@cactusrun/stand-ins';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

const MILLISECONDS_PER_SECOND = 1_000;
const OK_STATUS = 200;
const TICKET_REQUIRED_STATUS = 428;
const DIRECTORY_TIMEOUT_MILLISECONDS = 1_000;
/** Longer than every deadline of the examples. */
const REQUEST_TIMEOUT_MILLISECONDS = 70_000;

/** Result of a request as the caller sees it, checked against the request. */
export interface CallerResult {
  readonly identity: string;
  readonly outcome: OutcomeKind | 'cut';
  readonly reason: string;
  /** Whether and how the caller may retry. */
  readonly advice: string;
  readonly status: number;
  /** The answer belongs to another request or is incomplete. */
  readonly isWrong: boolean;
  readonly milliseconds: number;
  /** Time that the target spent on the request. */
  readonly workMilliseconds: number;
  readonly target: string;
}

export interface CallerRequest {
  readonly service: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: Buffer;
  readonly identity?: string;
  readonly ticket?: string;
  /** Entry to connect to instead of the one from the directory. */
  readonly address?: string;
}

interface CachedAnswer {
  readonly answer: DirectoryAnswer;
  readonly expiresAt: number;
}

interface TargetAnswer {
  readonly identity?: string;
  readonly digest?: string;
  readonly path?: string;
  readonly target?: string;
}

export default class Caller {
  private readonly cachedAnswers = new Map<string, CachedAnswer>();

  private readonly agent = new Agent({ connections: 64, pipelining: 1 });

  /** @param directoryAddresses - `ip:port` of the entry hosts to query, in order */
  constructor(
    private readonly directoryAddresses: readonly string[],
    private readonly zone: string,
    private readonly clock: Clock,
  ) {}

  public close(): Promise<void> {
    return this.agent.destroy();
  }

  /** The directory's answer for a service, cached for its time to live. */
  public async lookUp(service: string): Promise<DirectoryAnswer> {
    const cached = this.cachedAnswers.get(service);
    if (cached !== undefined && cached.expiresAt > this.clock.now()) return cached.answer;
    const answer = await this.queryDirectories(service, this.directoryAddresses);
    const expiresAt = this.clock.now() + answer.timeToLiveSeconds * MILLISECONDS_PER_SECOND;
    this.cachedAnswers.set(service, { answer, expiresAt });
    return answer;
  }

  /** Requests a ticket from a random directory, or from the next one that answers. */
  public requestTicket(service: string): Promise<DirectoryAnswer> {
    const start = Math.floor(Math.random() * this.directoryAddresses.length);
    const order = [
      ...this.directoryAddresses.slice(start),
      ...this.directoryAddresses.slice(0, start),
    ];
    return this.queryDirectories(service, order);
  }

  /** Sends a request; if the daemon demands a ticket and issues one, retries with that ticket. */
  public async send(options: CallerRequest): Promise<CallerResult> {
    const address = options.address ?? (await this.lookUp(options.service)).addresses[0]?.address;
    const identity = options.identity ?? randomUUID();
    const startedAt = this.clock.now();
    const first = await this.sendOnce(address ?? '', options, identity, options.ticket);
    const isTicketMissing =
      first.result.status === TICKET_REQUIRED_STATUS && first.ticket !== undefined;
    if (!isTicketMissing) return first.result;
    const second = await this.sendOnce(address ?? '', options, identity, first.ticket);
    return { ...second.result, milliseconds: this.clock.now() - startedAt };
  }

  private async queryDirectories(
    service: string,
    addresses: readonly string[],
  ): Promise<DirectoryAnswer> {
    const [address, ...rest] = addresses;
    try {
      const response = await request(
        `http://${address}${DIRECTORY_PATH}?service=${service}&zone=${this.zone}`,
        { dispatcher: this.agent, signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MILLISECONDS) },
      );
      const answer = (await response.body.json()) as DirectoryAnswer;
      if (response.statusCode !== OK_STATUS) throw new Error(`status ${response.statusCode}`);
      return answer;
    } catch (error) {
      if (rest.length === 0) throw error;
      return this.queryDirectories(service, rest);
    }
  }

  private async sendOnce(
    address: string,
    options: CallerRequest,
    identity: string,
    ticket: string | undefined,
  ): Promise<{ readonly result: CallerResult; readonly ticket: string | undefined }> {
    const startedAt = this.clock.now();
    const createResult = (fields: Partial<CallerResult>): CallerResult => ({
      identity,
      outcome: 'cut',
      reason: '',
      advice: '',
      status: 0,
      isWrong: false,
      workMilliseconds: 0,
      target: '',
      ...fields,
      milliseconds: this.clock.now() - startedAt,
    });
    try {
      const response = await request(`http://${address}${options.path}`, {
        dispatcher: this.agent,
        method: options.method,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
        body: options.body ?? null,
        headers: {
          [IDENTITY_HEADER]: identity,
          [CALLER_HEADERS.zone]: this.zone,
          ...(ticket === undefined ? {} : { [CALLER_HEADERS.ticket]: ticket }),
        },
      });
      const text = await response.body.text();
      const issuedTicket = headerText(response, CALLER_HEADERS.ticket);
      return {
        result: createResult(readResult(response, text, options, identity)),
        ticket: issuedTicket,
      };
    } catch {
      return { result: createResult({}), ticket: undefined };
    }
  }
}

function headerText(response: Dispatcher.ResponseData, name: string): string | undefined {
  const value = response.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readResult(
  response: Dispatcher.ResponseData,
  text: string,
  options: CallerRequest,
  identity: string,
): Partial<CallerResult> {
  const outcome = (headerText(response, CALLER_HEADERS.outcome) ?? 'cut') as OutcomeKind;
  const status = response.statusCode;
  const reason = headerText(response, CALLER_HEADERS.reason) ?? '';
  const advice = headerText(response, CALLER_HEADERS.advice) ?? '';
  if (outcome !== 'answered') return { outcome, reason, advice, status };
  const answer = parseAnswer(text);
  const digest = createHash('sha256')
    .update(options.body ?? Buffer.alloc(0))
    .digest('hex');
  const isMatching =
    answer.identity === identity && answer.path === options.path && answer.digest === digest;
  return {
    outcome,
    status,
    isWrong: !isMatching,
    workMilliseconds: Number(headerText(response, WORK_HEADER) ?? 0),
    target: answer.target ?? '',
  };
}

function parseAnswer(text: string): TargetAnswer {
  try {
    return JSON.parse(text) as TargetAnswer;
  } catch {
    return {};
  }
}
