/** HTTP server for operators: metrics, health, readiness, queries and changes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { checkAgainst } from '@cactusrun/configuration';
import type { Counters, Stop } from '@cactusrun/core';
import { CactusrunError, describeError } from '@cactusrun/core';
import type { Query } from '@cactusrun/language';
import { parseScript, ScriptSyntaxError } from '@cactusrun/language';
import { z } from 'zod';
import type ChangeService from './ChangeService.js';
import type OperatorQueries from './OperatorQueries.js';

const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

const HTTP_STATUS = { ok: 200, badRequest: 400, notFound: 404, notReady: 503 } as const;

const QuerySchema = z.object({ query: z.string() });

const ChangeSchema = z.object({
  identity: z.string().min(1).max(100),
  author: z.string().max(100).default(''),
  script: z.string(),
  baseRevision: z.number().int().optional(),
  isDryRun: z.boolean().default(false),
});

/** Whether the daemon is ready for callers, and if not, why. */
export interface Readiness {
  readonly isReady: boolean;
  readonly reasons: readonly string[];
}

export interface OperatorServerOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly counters: Counters;
  readonly queries: OperatorQueries;
  readonly changes: ChangeService;
  readonly readiness: () => Readiness;
}

interface Reply {
  readonly status: number;
  readonly type: string;
  readonly text: string;
}

type Handler = (body: string) => Promise<Reply>;

function json(status: number, value: unknown): Reply {
  return { status, type: 'application/json', text: `${JSON.stringify(value)}\n` };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

export default class OperatorServer {
  private readonly handlers: Readonly<Record<string, Handler>> = {
    'GET /metrics': () => this.serveMetrics(),
    'GET /health': async () => json(HTTP_STATUS.ok, { isAlive: true }),
    'GET /ready': async () => this.serveReadiness(),
    'POST /query': (body) => this.serveQuery(body),
    'POST /changes': (body) => this.serveChange(body),
  };

  constructor(private readonly options: OperatorServerOptions) {}

  /**
   * Serves until the returned function is called.
   *
   * @throws CactusrunError when the address cannot be bound
   */
  public async start(): Promise<Stop> {
    const { address } = this.options;
    const [ip, port] = address.split(':');
    const server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', (error) => {
        reject(new CactusrunError(error.message, { step: 'binding for operators', peer: address }));
      });
      server.listen(Number(port), ip, resolve);
    });
    return () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    const handler = this.handlers[`${request.method} ${path}`];
    const reply =
      handler === undefined
        ? json(HTTP_STATUS.notFound, {
            error: `known: ${Object.keys(this.handlers).join(', ')}`,
          })
        : await handler(await readBody(request)).catch((error: unknown) =>
            json(HTTP_STATUS.badRequest, { error: describeError(error) }),
          );
    response.writeHead(reply.status, {
      'content-type': reply.type,
      'content-length': Buffer.byteLength(reply.text),
    });
    response.end(reply.text);
  }

  private async serveMetrics(): Promise<Reply> {
    const text = await this.options.counters.render();
    return { status: HTTP_STATUS.ok, type: 'text/plain; version=0.0.4', text };
  }

  private serveReadiness(): Reply {
    const readiness = this.options.readiness();
    return json(readiness.isReady ? HTTP_STATUS.ok : HTTP_STATUS.notReady, readiness);
  }

  private async serveQuery(body: string): Promise<Reply> {
    const { value, problems } = checkAgainst(QuerySchema, parseJson(body));
    if (value === undefined) return json(HTTP_STATUS.badRequest, { problems });
    try {
      const queries = parseScript(value.query).map(queryOf);
      const answers = await Promise.all(queries.map((query) => this.options.queries.answer(query)));
      return json(HTTP_STATUS.ok, { answers });
    } catch (error) {
      if (!(error instanceof ScriptSyntaxError)) throw error;
      const { message, line, column, expected } = error;
      return json(HTTP_STATUS.badRequest, { error: message, line, column, expected });
    }
  }

  private async serveChange(body: string): Promise<Reply> {
    const { value, problems } = checkAgainst(ChangeSchema, parseJson(body));
    if (value === undefined) return json(HTTP_STATUS.badRequest, { problems });
    return json(HTTP_STATUS.ok, await this.options.changes.submit(value));
  }
}

function queryOf(statement: ReturnType<typeof parseScript>[number]): Query {
  if (statement.kind === 'query') return statement.query;
  throw new CactusrunError('commands go to /changes', { step: 'answering a query' });
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  await new Promise<void>((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > MAXIMUM_BODY_BYTES) request.destroy();
    });
    request.on('end', resolve);
    request.on('close', () => reject(new Error('request body is truncated or too large')));
  });
  return Buffer.concat(chunks).toString();
}
