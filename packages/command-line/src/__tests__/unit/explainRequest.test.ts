import { readFileSync } from 'node:fs';
import { PassThrough, Readable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { Cli } from 'clipanion';
import { beforeAll, describe, expect, it } from 'vitest';
import explainRequest from '../../explain/explainRequest.js';
import type { LogEntry } from '../../explain/LogEntry.js';
import { parseLogEntry } from '../../explain/LogEntry.js';
import ExplainCommand from '../../ExplainCommand.js';

/** Log lines of a daemon fleet, recorded in a simulated day (tuul-press scale-2). */
const RECORDED_LOG = fileURLToPath(new URL('recordedLog.jsonl', import.meta.url));

describe('explainRequest', () => {
  let entries: readonly LogEntry[];

  beforeAll(() => {
    entries = readFileSync(RECORDED_LOG, 'utf8')
      .split('\n')
      .flatMap((line) => parseLogEntry(line) ?? []);
  });

  function causeOf(request: string): string {
    return explainRequest(entries, request)?.cause ?? 'unknown';
  }

  describe('the three examples of docs/OPERATIONS.md', () => {
    it('reports missing capacity for a request refused during a burst', () => {
      expect(causeOf('050df273578ea60a')).toMatch(
        /No target of puje58a would have answered in time: 812 ms expected, 803 ms remaining.*not run/s,
      );
    });

    it('names the target of a request whose answer was lost, and says that it may have run', () => {
      expect(causeOf('d5be46fb4910f814')).toMatch(
        /Target i-\w+ received the request and returned no complete answer.*may have run.*must run at most once/s,
      );
    });

    it('reports the estimated failure probability of a target that was becoming unhealthy', () => {
      expect(causeOf('fa6c3a33e916a3c7')).toMatch(
        /Target i-\w+ answered 500\. Estimated failure probability when it was chosen: 0\.0\d/,
      );
    });
  });

  describe('a request without a line about its end', () => {
    it('has no explanation', () => {
      expect(explainRequest(entries, 'other')).toBeUndefined();
    });
  });

  describe('lines of other programs', () => {
    ['', 'text', '{', '[]', '{"time":"x","event":"a","host":"b"}', '{"event":7}'].forEach(
      (line) => {
        it(`are ignored: ${JSON.stringify(line)}`, () => {
          expect(parseLogEntry(line)).toBeUndefined();
        });
      },
    );

    it('allows text before the JSON of a line', () => {
      const line = '  1.5 host-1 {"time":"2026-06-26T21:07:57.922Z","event":"stopped","host":"h"}';
      expect(parseLogEntry(line)).toMatchObject({ event: 'stopped', host: 'h' });
    });
  });

  describe('the explain command', () => {
    async function run(...args: readonly string[]) {
      const cli = new Cli({ binaryName: 'cactusrun' });
      cli.register(ExplainCommand);
      const stdout = new PassThrough();
      const stderr = new PassThrough();
      const stdin = Readable.from([readFileSync(RECORDED_LOG)]);
      const status = await cli.run(['explain', ...args], { stdin, stdout, stderr });
      return { status, text: `${stdout.read() ?? ''}`, error: `${stderr.read() ?? ''}` };
    }

    it('explains from files and prints the lines about the request', async () => {
      const { status, text } = await run('d5be46fb4910f814', RECORDED_LOG);
      expect(status).toBe(0);
      expect(text).toContain('d5be46fb4910f814: connection-broke\n');
      expect(text).toContain('call-failed');
    });

    it('explains from standard input as JSON', async () => {
      const { status, text } = await run('--json', 'fa6c3a33e916a3c7');
      expect(status).toBe(0);
      expect(JSON.parse(text)).toMatchObject({ request: 'fa6c3a33e916a3c7', outcome: 'answered' });
    });

    it('reports an unknown request, and a file that cannot be read', async () => {
      expect(await run('other', RECORDED_LOG)).toMatchObject({ status: 2 });
      const missing = await run('other', 'none.jsonl');
      expect(missing.status).toBe(1);
      expect(missing.error).toContain('none.jsonl');
    });
  });
});
