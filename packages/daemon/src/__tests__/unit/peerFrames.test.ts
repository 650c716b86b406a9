import { PassThrough, Readable } from 'node:stream';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import type { Stop } from '@cactusrun/core';
import { systemClock } from '@cactusrun/core';
import type { PeerHandlers } from '@cactusrun/protocol';
import { PeerClient, startPeerServer } from '@cactusrun/protocol';
import type { Attempt, AttemptResult, RequestBody } from '@cactusrun/requests';
import { attemptFrame } from '../../frames.js';
import { exchangeFrames } from '../../sendFrames.js';
import type { FrameAnswer, ReceivedRequest } from '../../serveFrames.js';
import { serveFrames } from '../../serveFrames.js';

const ADDRESS = '127.0.77.9:18090';
const CLOSED_ADDRESS = '127.0.77.9:18091';
const LONG_BYTES = 400_000;

function attemptOf(body: RequestBody, signal: AbortSignal): Attempt {
  return {
    service: 'stock',
    shard: 'stock/west-a/0',
    method: 'POST',
    path: '/x',
    headers: [['X-Kept', 'yes']],
    body,
    requestClass: 'idempotent',
    priority: 'high',
    isDeposit: true,
    fingerprint: 'f',
    callerZone: 'east-a',
    deadline: 0,
    signal,
  };
}

async function readText(result: AttemptResult): Promise<string> {
  if (result.kind !== 'answered') return `refused ${result.reason}`;
  return Buffer.concat(await result.body.toArray()).toString();
}

describe('requests between daemons, over gRPC', () => {
  const client = new PeerClient(ADDRESS);
  let stop: Stop;
  let handle: (request: ReceivedRequest) => Promise<FrameAnswer>;

  beforeAll(async () => {
    stop = await startPeerServer(ADDRESS, {
      dispatch: (stream) => serveFrames(stream, (request) => handle(request)),
    } as PeerHandlers);
  });

  afterAll(async () => {
    client.close();
    await stop();
  });

  beforeEach(() => {
    handle = async ({ body }) => ({
      kind: 'answered',
      status: 201,
      headers: [['X-Answer', 'yes']],
      body: Readable.from([body.head]),
      target: 't',
    });
  });

  async function send(
    body: RequestBody,
    signal = new AbortController().signal,
  ): Promise<{ readonly result: AttemptResult; readonly proceeds: number }> {
    await client.isReady('short', 2_000);
    let proceeds = 0;
    const result = await exchangeFrames({
      stream: client.dispatch('short', 5_000),
      first: attemptFrame(attemptOf(body, signal), 5_000),
      body,
      signal,
      clock: systemClock,
      onProceed: () => {
        proceeds += 1;
      },
      lostReason: 'keeper-lost',
    });
    return { result, proceeds };
  }

  const whole = (text: string): RequestBody => ({ head: Buffer.from(text), isWhole: true });

  it('transmit head, body and answer', async () => {
    let seen: ReceivedRequest | undefined;
    const answer = handle;
    handle = async (request) => {
      seen = request;
      return answer(request);
    };
    const { result } = await send(whole('lamp'));
    expect(result).toMatchObject({ kind: 'answered', status: 201, target: 't' });
    expect(await readText(result)).toBe('lamp');
    expect(seen?.head).toMatchObject({
      shard: 'stock/west-a/0',
      isDeposit: true,
      priority: 'high',
    });
  });

  it('transmit refusals with the load of the shard', async () => {
    const load = { freeSlots: 0, queued: 3, isDoubtful: true };
    handle = async () => ({ kind: 'refused', reason: 'queue-full', detail: 'd', load });
    const { result } = await send(whole(''));
    expect(result).toEqual({ kind: 'refused', reason: 'queue-full', detail: 'd', load });
  });

  it('send the rest of a long body only after admission, complete and in order', async () => {
    const bytes = Buffer.alloc(LONG_BYTES, 'abcdefghij');
    let isAsked = false;
    handle = async ({ body, proceed }) => {
      isAsked = true;
      proceed();
      const rest = Buffer.concat(await body.rest!.toArray());
      const isSame = Buffer.concat([body.head, rest]).equals(bytes);
      return {
        kind: 'answered',
        status: 200,
        headers: [],
        body: Readable.from([Buffer.from(String(isSame))]),
      };
    };
    const rest = Readable.from([bytes.subarray(10, 70_000), bytes.subarray(70_000)]);
    const { result, proceeds } = await send({ head: bytes.subarray(0, 10), isWhole: false, rest });
    expect([isAsked, proceeds, await readText(result)]).toEqual([true, 1, 'true']);
  });

  it('leave a long body unread when the keeper refuses', async () => {
    handle = async () => ({ kind: 'refused', reason: 'queue-full', detail: '' });
    const rest = new PassThrough();
    const { result } = await send({ head: Buffer.from('x'), isWhole: false, rest });
    expect(result).toMatchObject({ reason: 'queue-full' });
    expect(rest.readableFlowing).toBeNull();
  });

  it.each([
    ['short', [['Content-Length', '9']] as const],
    ['long', [] as const],
  ])('do not present a truncated answer as complete, %s', async (_, headers) => {
    handle = async () => {
      const body = new PassThrough();
      body.write('half');
      setImmediate(() => setImmediate(() => body.destroy(new Error('cut'))));
      return { kind: 'answered', status: 200, headers, body };
    };
    const { result } = await send(whole(''));
    const text = await readText(result).catch(() => 'cut');
    expect(['cut', 'refused keeper-lost']).toContain(text);
  });

  it('are cancelled at the peer when the caller disconnects', async () => {
    let cancelled: () => void = () => {};
    const isCancelled = new Promise<void>((resolve) => {
      cancelled = resolve;
    });
    const controller = new AbortController();
    handle = ({ signal }) =>
      new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          cancelled();
          resolve({ kind: 'refused', reason: 'caller-cancelled', detail: '' });
        });
        controller.abort();
      });
    const { result } = await send(whole(''), controller.signal);
    await isCancelled;
    expect(result).toMatchObject({ kind: 'refused', reason: 'keeper-lost' });
  });

  it('find a peer without a connection not ready', async () => {
    const closed = new PeerClient(CLOSED_ADDRESS);
    expect(await closed.isReady('short', 200)).toBe(false);
    closed.close();
  });
});
