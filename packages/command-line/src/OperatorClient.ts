/** Talks to the operators' address of one daemon. */
import { describeError } from '@cactusrun/core';
import { request } from 'undici';
import OperatorClientError from './OperatorClientError.js';

const LIMIT_MILLISECONDS = 10_000;
const FIRST_ERROR_STATUS = 400;

export type Row = Readonly<Record<string, string | number | boolean>>;

/** What the daemon made of a change; see the daemon's ChangeDesk. */
export interface ChangeReply {
  readonly kind:
    'accepted' | 'would-be-accepted' | 'refused' | 'not-accepted' | 'unknown' | 'syntax-error';
  readonly revision?: number;
  readonly summary?: string;
  readonly reason?: string;
  readonly detail?: string;
  readonly line?: number;
  readonly column?: number;
  readonly expected?: string;
}

export interface ChangeOrder {
  readonly identity: string;
  readonly author: string;
  readonly script: string;
  readonly baseRevision?: number;
  readonly isDryRun: boolean;
}

export default class OperatorClient {
  /** @param address - `ip:port` of a daemon's operators' address */
  constructor(private readonly address: string) {}

  /** Rows for each query of the script. */
  public async query(query: string): Promise<readonly (readonly Row[])[]> {
    const reply = await this.post<{ answers: readonly (readonly Row[])[] }>('/query', { query });
    return reply.answers;
  }

  /** Makes or judges a change. It may be repeated with the same identity. */
  public change(order: ChangeOrder): Promise<ChangeReply> {
    return this.post<ChangeReply>('/changes', order);
  }

  private async post<Reply>(path: string, body: unknown): Promise<Reply> {
    const place = { step: `asking ${path}`, peer: this.address };
    try {
      const response = await request(`http://${this.address}${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(LIMIT_MILLISECONDS),
      });
      const reply = (await response.body.json()) as Reply & { error?: string };
      if (response.statusCode < FIRST_ERROR_STATUS) return reply;
      throw new OperatorClientError(reply.error ?? `status ${response.statusCode}`, place);
    } catch (error) {
      if (error instanceof OperatorClientError) throw error;
      throw new OperatorClientError(describeError(error), place, error);
    }
  }
}
