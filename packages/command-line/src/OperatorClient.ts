/** HTTP client for the operators' address of one daemon. */
import { describeError } from '@cactusrun/core';
import { request } from 'undici';
import OperatorClientError from './OperatorClientError.js';

const TIMEOUT_MILLISECONDS = 10_000;
const FIRST_ERROR_STATUS = 400;

export type Row = Readonly<Record<string, string | number | boolean>>;

/** Result of submitting a change; the daemon's `ChangeService` produces it. */
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

export interface ChangeRequest {
  readonly identity: string;
  readonly author: string;
  readonly script: string;
  readonly baseRevision?: number;
  readonly isDryRun: boolean;
}

export default class OperatorClient {
  /** @param address - `ip:port` of a daemon's operators' address */
  constructor(private readonly address: string) {}

  /** Returns the rows of each query in the script, in order. */
  public async query(query: string): Promise<readonly (readonly Row[])[]> {
    const reply = await this.post<{ answers: readonly (readonly Row[])[] }>('/query', { query });
    return reply.answers;
  }

  /** Submits a change, or evaluates it in a dry run. Safe to retry with the same identity. */
  public change(changeRequest: ChangeRequest): Promise<ChangeReply> {
    return this.post<ChangeReply>('/changes', changeRequest);
  }

  private async post<Reply>(path: string, body: unknown): Promise<Reply> {
    const context = { step: `POST ${path}`, peer: this.address };
    try {
      const response = await request(`http://${this.address}${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      const reply = (await response.body.json()) as Reply & { error?: string };
      if (response.statusCode < FIRST_ERROR_STATUS) return reply;
      throw new OperatorClientError(reply.error ?? `status ${response.statusCode}`, context);
    } catch (error) {
      if (error instanceof OperatorClientError) throw error;
      throw new OperatorClientError(describeError(error), context, error);
    }
  }
}
