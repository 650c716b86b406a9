import { createServer } from 'node:net';
import { Counters } from '@cactusrun/core';
import { afterEach, describe, expect, it } from 'vitest';
import listen from '../../listen.js';

const ADDRESS = '127.0.7.23:17571';

describe('listen', () => {
  const server = createServer();

  afterEach(() => {
    server.close();
  });

  it('outlives connections that cannot be accepted, and counts them', async () => {
    const counters = new Counters();
    await listen(server, ADDRESS, counters);
    const error = new Error('accept ENFILE');
    expect(() => [1, 2, 3].forEach(() => server.emit('error', error))).not.toThrow();
    expect(counters.valueOf('servers', 'accept-failed')).toBe(3);
  });
});
