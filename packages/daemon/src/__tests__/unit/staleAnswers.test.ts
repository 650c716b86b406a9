import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { ConnectionAge, Target } from '@cactusrun/core';
import { systemClock } from '@cactusrun/core';
import type { Attempt, TargetResult } from '@cactusrun/requests';
import { ScriptedTarget } from '@cactusrun/stand-ins';
import { REQUEST_ID_HEADER } from '../../headers.js';
import HttpTargetConnector from '../../HttpTargetConnector.js';

const HOST = '127.0.77.10';
/** Time for bytes to arrive on an idle connection. */
const ARRIVAL_MILLISECONDS = 50;

interface SentRequest {
  readonly result: TargetResult;
  readonly connection: ConnectionAge | undefined;
  readonly text: string | undefined;
}

function idIn(received: string): string {
  return new RegExp(`${REQUEST_ID_HEADER}: (.*)\r\n`, 'i').exec(received)?.[1] ?? '';
}

function answer(id: string | undefined, text: string): string {
  const field = id === undefined ? '' : `${REQUEST_ID_HEADER}: ${id}\r\n`;
  return `HTTP/1.1 200 OK\r\n${field}Content-Length: ${text.length}\r\n\r\n${text}`;
}

function refusal(id: string | undefined): string {
  const field = id === undefined ? '' : `${REQUEST_ID_HEADER}: ${id}\r\n`;
  return `HTTP/1.1 503 No\r\nUpstream-State: shed\r\n${field}Content-Length: 0\r\n\r\n`;
}

// A faulty upstream may write an answer once more on a kept connection. Taken for the answer to the
// next request, a refusal makes that request run twice or be reported as not run while it runs.
describe('HttpTargetConnector and an upstream that answers once more', () => {
  let server: ScriptedTarget;
  let connector: HttpTargetConnector;
  let received: string[];

  beforeEach(async () => {
    received = [];
    connector = new HttpTargetConnector(systemClock, () => 1);
    server = new ScriptedTarget();
    await server.start(HOST);
  });

  afterEach(async () => {
    connector.close();
    await server.stop();
  });

  /** Answers the requests in their order, each by the next script. */
  function follow(...scripts: readonly ((socket: Socket, id: string) => void)[]): void {
    server.follow((socket, text) => {
      received.push(text);
      scripts[received.length - 1]?.(socket, idIn(text));
    });
  }

  async function send(): Promise<SentRequest> {
    const attempt = {
      service: 's',
      method: 'POST',
      path: '/x',
      headers: [],
      body: { head: Buffer.from('lamp'), isWhole: true },
      callerZone: 'z',
      deadline: systemClock.now() + 5_000,
    } as unknown as Attempt;
    const target = { address: server.address } as Target;
    const signal = AbortSignal.timeout(2_000);
    let connection: ConnectionAge | undefined;
    const result = await connector.send(target, attempt, signal, (age) => {
      connection = age;
    });
    if (result.kind !== 'answered') return { result, connection, text: undefined };
    const chunks = await result.body.toArray();
    return { result, connection, text: Buffer.concat(chunks).toString() };
  }

  const own = (text: string) => (socket: Socket, id: string) => socket.write(answer(id, text));

  it('believes an answer that names its request, on a kept connection too', async () => {
    follow(own('first'), own('second'));
    expect(await send()).toMatchObject({ text: 'first', connection: 'new' });
    expect(await send()).toMatchObject({ text: 'second', connection: 'reused' });
  });

  it('believes a refusal that names its request, on a kept connection too', async () => {
    follow(own('first'), (socket, id) => socket.write(refusal(id)));
    await send();
    const second = await send();
    expect(second.result).toEqual({ kind: 'shed', isLeaving: false });
    expect(second.connection).toBe('reused');
  });

  Object.entries({ refusal, answer: (id: string | undefined) => answer(id, 'stale') }).forEach(
    ([name, write]) => {
      describe(`with a stale ${name}`, () => {
        const stale: Readonly<Record<string, (id: string) => string>> = {
          'names its own request': (id) => write(id),
          'names no request': () => write(undefined),
        };
        Object.entries(stale).forEach(([form, text]) => {
          it(`that ${form}, just after the next request, leaves that one unknown`, async () => {
            let firstId = '';
            follow(
              (socket, id) => {
                firstId = id;
                socket.write(answer(id, 'first'));
              },
              (socket) => socket.write(text(firstId)),
            );
            expect((await send()).text).toBe('first');
            const second = await send();
            expect(second.connection).toBe('reused');
            expect(second.result.kind).toBe('broken');
          });

          it(`that ${form}, while the connection is idle, closes it`, async () => {
            follow((socket, id) => {
              socket.write(answer(id, 'first'));
              setTimeout(() => socket.write(text(id)), ARRIVAL_MILLISECONDS / 2);
            }, own('second'));
            expect((await send()).text).toBe('first');
            await systemClock.sleep(ARRIVAL_MILLISECONDS);
            expect(server.sockets[0]?.destroyed).toBe(true);
            expect(await send()).toMatchObject({ text: 'second', connection: 'new' });
          });

          it(`that ${form}, in the packet of the answer, ends the connection`, async () => {
            follow((socket, id) => socket.write(answer(id, 'first') + text(id)), own('second'));
            await send();
            await systemClock.sleep(ARRIVAL_MILLISECONDS);
            expect(await send()).toMatchObject({ text: 'second', connection: 'new' });
          });
        });
      });
    },
  );

  it('does not keep a connection to an upstream that names no requests', async () => {
    follow(
      (socket) => socket.write(answer(undefined, 'first')),
      (socket) => socket.write(refusal(undefined)),
      own('third'),
    );
    expect(await send()).toMatchObject({ text: 'first', connection: 'new' });
    const second = await send();
    expect([second.result.kind, second.connection]).toEqual(['shed', 'new']);
    expect(await send()).toMatchObject({ text: 'third', connection: 'new' });
  });

  it('does not believe an answer to another request on a new connection', async () => {
    follow((socket) => socket.write(refusal('another')));
    expect((await send()).result.kind).toBe('broken');
  });
});
