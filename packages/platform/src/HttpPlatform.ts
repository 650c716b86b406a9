/** HTTP client for the platform's log and host list; `docs/PLATFORM.md` describes the protocol. */
import type { LogEntry } from '@cactusrun/configuration';
import { checkAgainst } from '@cactusrun/configuration';
import type { Counters } from '@cactusrun/core';
import { describeError, parseAddress } from '@cactusrun/core';
import { Pool } from 'undici';
import { z } from 'zod';
import type { HostList, ListedHost, LogPage, PlatformFailure, PlatformLog } from './PlatformLog.js';
import { PlatformError } from './PlatformLog.js';

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_CONNECTIONS = 4;
const FIRST_ERROR_STATUS = 400;
const STREAM = 'configuration';

const PageSchema = z.object({
  firstOffset: z.number().int(),
  nextOffset: z.number().int(),
  records: z.array(z.object({ offset: z.number().int(), timestamp: z.number(), data: z.string() })),
});

const AppendedSchema = z.object({ offset: z.number().int() });

const HostSchema = z.object({
  name: z.string(),
  kind: z.enum(['entry', 'upstream']),
  address: z.string().refine((text) => parseAddress(text) !== undefined),
  state: z.enum(['live', 'leaving']),
});

/** Its entries are checked one by one: other programs write them, and one must not hide the rest. */
const HostsSchema = z.object({ hosts: z.array(z.unknown()) });

/** Error codes that mean that no byte of the request reached the platform. */
const UNSENT_CODES: readonly string[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH'];

interface Call {
  readonly step: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly timeoutMilliseconds: number;
  readonly signal?: AbortSignal | undefined;
}

function failureOf(error: unknown): PlatformFailure {
  const { code } = error as { code?: string };
  return code !== undefined && UNSENT_CODES.includes(code) ? 'refused' : 'in-doubt';
}

export default class HttpPlatform implements PlatformLog, HostList {
  private readonly pool: Pool;

  /**
   * @param address - `ip:port` of the platform's service
   * @param counters - count the entries that are left out
   */
  constructor(
    address: string,
    private readonly counters?: Counters,
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections: MAXIMUM_CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CALL_TIMEOUT_MILLISECONDS },
    });
  }

  public async append(data: string): Promise<number> {
    const { offset } = await this.call(AppendedSchema, {
      step: 'appending',
      method: 'POST',
      path: `/streams/${STREAM}/records`,
      body: data,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    return offset;
  }

  public async read(
    from: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    const query = `from=${from}&waitMilliseconds=${Math.round(waitMilliseconds)}`;
    const page = await this.call(PageSchema, {
      step: 'reading the log',
      method: 'GET',
      path: `/streams/${STREAM}/records?${query}`,
      timeoutMilliseconds: waitMilliseconds + CALL_TIMEOUT_MILLISECONDS,
      signal,
    });
    const entries: readonly LogEntry[] = page.records;
    return { firstOffset: page.firstOffset, nextOffset: page.nextOffset, entries };
  }

  public async list(): Promise<readonly ListedHost[]> {
    const { hosts } = await this.call(HostsSchema, {
      step: 'reading the host list',
      method: 'GET',
      path: '/hosts',
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    return hosts.flatMap((entry) => {
      const { data } = HostSchema.safeParse(entry);
      if (data === undefined) this.counters?.add('host_list', 'entry-unreadable');
      return data ?? [];
    });
  }

  public async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call<Value>(schema: z.ZodType<Value>, call: Call): Promise<Value> {
    const timeout = AbortSignal.timeout(call.timeoutMilliseconds);
    const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]);
    const { statusCode, text } = await this.request(call, signal);
    if (statusCode >= FIRST_ERROR_STATUS) {
      throw new PlatformError(`status ${statusCode}: ${text}`, call.step, 'refused');
    }
    const { value, problems } = checkAgainst(schema, parseJson(text));
    if (value === undefined) {
      const problem = problems[0]?.message ?? 'does not match the schema';
      throw new PlatformError(`malformed response: ${problem}`, call.step, 'in-doubt');
    }
    return value;
  }

  private async request(call: Call, signal: AbortSignal) {
    try {
      const { method, path } = call;
      const body = call.body ?? null;
      const response = await this.pool.request({ method, path, body, signal });
      return { statusCode: response.statusCode, text: await response.body.text() };
    } catch (error) {
      throw new PlatformError(describeError(error), call.step, failureOf(error), error);
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
