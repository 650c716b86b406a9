import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Counters } from '@cactusrun/core';
import HttpPlatform from '../../HttpPlatform.js';

const HOST = '127.0.77.9';
const NESTING_DEPTH = 20_000;
const SOUND = { name: 'a', kind: 'entry', address: '127.0.1.1:9000', state: 'live' } as const;

/** Entries, as JSON, that another writer of the list may have left there. */
const ODD_ENTRIES: Readonly<Record<string, string>> = {
  'port 0': JSON.stringify({ ...SOUND, address: '127.0.1.1:0' }),
  'port 65536': JSON.stringify({ ...SOUND, address: '127.0.1.1:65536' }),
  'an address that is no IPv4 address': JSON.stringify({ ...SOUND, address: '999.0.1.1:80' }),
  'an address that is a number': JSON.stringify({ ...SOUND, address: 7 }),
  'a number that is too large': '{"name":1e999,"kind":"entry"}',
  'an unknown kind': JSON.stringify({ ...SOUND, kind: 'store' }),
  'an unknown state': JSON.stringify({ ...SOUND, state: 'asleep' }),
  'no fields': '{}',
  'a very deep list': `${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}`,
  'a very deep name': `{"name":${'{"a":'.repeat(NESTING_DEPTH)}1${'}'.repeat(NESTING_DEPTH)}}`,
  null: 'null',
};

// One entry of another writer must not hide all hosts, nor reach a socket as an address.
describe("the platform's host list", () => {
  const counters = new Counters();
  let server: Server;
  let platform: HttpPlatform;
  let text = '';

  beforeAll(async () => {
    server = createServer((_, response) => response.end(text));
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    const { port } = server.address() as { port: number };
    platform = new HttpPlatform(`${HOST}:${port}`, counters);
  });

  afterAll(async () => {
    await platform.close();
    server.close();
  });

  Object.entries(ODD_ENTRIES).forEach(([name, entry]) => {
    it(`leaves out an entry with ${name} and keeps the others`, async () => {
      const before = counters.valueOf('host_list', 'entry-unreadable');
      text = `{"hosts":[${entry},${JSON.stringify(SOUND)}]}`;
      expect(await platform.list()).toEqual([SOUND]);
      expect(counters.valueOf('host_list', 'entry-unreadable')).toBe(before + 1);
    });
  });

  it('keeps an entry with fields of a later version', async () => {
    text = JSON.stringify({ hosts: [{ ...SOUND, rack: { row: 7 } }] });
    expect(await platform.list()).toEqual([SOUND]);
  });
});
