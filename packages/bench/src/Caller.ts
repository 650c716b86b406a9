/** A caller as the brief describes it: asks which address to use, keeps the answer, connects there. */
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
const DIRECTORY_MILLISECONDS = 1_000;
/** Longer than any deadline of the examples. */
const CALL_MILLISECONDS = 70_000;

/** What the caller was told, checked against what it asked. */
export interface CallResult {
  readonly identity: string;
  readonly outcome: OutcomeKind | 'cut';
  readonly reason: string;
  /** What the caller may do next. */
  readonly advice: string;
  readonly status: number;
  /** The answer was another request's, or not whole. */
  readonly isWrong: boolean;
  readonly milliseconds: number;
  /** Time that the target itself worked. */
  readonly workMilliseconds: number;
  readonly target: string;
}

export interface CallOptions {
  readonly service: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: Buffer;
  readonly identity?: string;
  readonly ticket?: string;
  /** Entry to use in place of the directory's. */
  readonly address?: string;
}

interface KeptAnswer {
  readonly answer: DirectoryAnswer;
  readonly until: number;
}

interface Answer {
  readonly identity?: string;
  readonly digest?: string;
  readonly path?: string;
  readonly target?: string;
}

export default class Caller {
  private readonly kept = new Map<string, KeptAnswer>();

  private readonly agent = new Agent({ connections: 64, pipelining: 1 });

  /** @param directories - `ip:port` of entry hosts to ask, in order */
  constructor(
    private readonly directories: readonly string[],
    private readonly zone: string,
    private readonly clock: Clock,
  ) {}

  public close(): Promise<void> {
    return this.agent.destroy();
  }

  /** The directory's answer for a service, kept for as long as it says. */
  public async lookUp(service: string): Promise<DirectoryAnswer> {
    const known = this.kept.get(service);
    if (known !== undefined && known.until > this.clock.now()) return known.answer;
    const answer = await this.askDirectories(service, this.directories);
    const until = this.clock.now() + answer.timeToLiveSeconds * MILLISECONDS_PER_SECOND;
    this.kept.set(service, { answer, until });
    return answer;
  }

  /** Asks some directory for a ticket of its daemon. */
  public freshTicket(service: string): Promise<DirectoryAnswer> {
    const start = Math.floor(Math.random() * this.directories.length);
    const order = [...this.directories.slice(start), ...this.directories.slice(0, start)];
    return this.askDirectories(service, order);
  }

  /** Sends one request; one that needs a ticket and has none gets it first. */
  public async call(options: CallOptions): Promise<CallResult> {
    const address = options.address ?? (await this.lookUp(options.service)).addresses[0]?.address;
    const identity = options.identity ?? randomUUID();
    const startedAt = this.clock.now();
    const first = await this.send(address ?? '', options, identity, options.ticket);
    const isTicketMissing =
      first.result.status === TICKET_REQUIRED_STATUS && first.ticket !== undefined;
    if (!isTicketMissing) return first.result;
    const second = await this.send(address ?? '', options, identity, first.ticket);
    return { ...second.result, milliseconds: this.clock.now() - startedAt };
  }

  private async askDirectories(
    service: string,
    addresses: readonly string[],
  ): Promise<DirectoryAnswer> {
    const [address, ...rest] = addresses;
    try {
      const response = await request(
        `http://${address}${DIRECTORY_PATH}?service=${service}&zone=${this.zone}`,
        { dispatcher: this.agent, signal: AbortSignal.timeout(DIRECTORY_MILLISECONDS) },
      );
      const answer = (await response.body.json()) as DirectoryAnswer;
      if (response.statusCode !== OK_STATUS) throw new Error(`status ${response.statusCode}`);
      return answer;
    } catch (error) {
      if (rest.length === 0) throw error;
      return this.askDirectories(service, rest);
    }
  }

  private async send(
    address: string,
    options: CallOptions,
    identity: string,
    ticket: string | undefined,
  ): Promise<{ readonly result: CallResult; readonly ticket: string | undefined }> {
    const startedAt = this.clock.now();
    const describe = (facts: Partial<CallResult>): CallResult => ({
      identity,
      outcome: 'cut',
      reason: '',
      advice: '',
      status: 0,
      isWrong: false,
      workMilliseconds: 0,
      target: '',
      ...facts,
      milliseconds: this.clock.now() - startedAt,
    });
    try {
      const response = await request(`http://${address}${options.path}`, {
        dispatcher: this.agent,
        method: options.method,
        signal: AbortSignal.timeout(CALL_MILLISECONDS),
        body: options.body ?? null,
        headers: {
          [IDENTITY_HEADER]: identity,
          [CALLER_HEADERS.zone]: this.zone,
          ...(ticket === undefined ? {} : { [CALLER_HEADERS.ticket]: ticket }),
        },
      });
      const text = await response.body.text();
      const next = headerText(response, CALLER_HEADERS.ticket);
      return { result: describe(readResult(response, text, options, identity)), ticket: next };
    } catch {
      return { result: describe({}), ticket: undefined };
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
  options: CallOptions,
  identity: string,
): Partial<CallResult> {
  const outcome = (headerText(response, CALLER_HEADERS.outcome) ?? 'cut') as OutcomeKind;
  const status = response.statusCode;
  const reason = headerText(response, CALLER_HEADERS.reason) ?? '';
  const advice = headerText(response, CALLER_HEADERS.advice) ?? '';
  if (outcome !== 'answered') return { outcome, reason, advice, status };
  const answer = parseAnswer(text);
  const digest = createHash('sha256')
    .update(options.body ?? Buffer.alloc(0))
    .digest('hex');
  const isOwn =
    answer.identity === identity && answer.path === options.path && answer.digest === digest;
  return {
    outcome,
    status,
    isWrong: !isOwn,
    workMilliseconds: Number(headerText(response, WORK_HEADER) ?? 0),
    target: answer.target ?? '',
  };
}

function parseAnswer(text: string): Answer {
  try {
    return JSON.parse(text) as Answer;
  } catch {
    return {};
  }
}
