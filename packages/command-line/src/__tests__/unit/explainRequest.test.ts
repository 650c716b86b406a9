import { readFileSync } from 'node:fs';
import { PassThrough, Readable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { Cli } from 'clipanion';
import { beforeAll, describe, expect, it } from 'vitest';
import explainRequest from '../../explain/explainRequest.js';
import type { LogEntry } from '../../explain/LogEntry.js';
import { parseLogEntry } from '../../explain/LogEntry.js';
import ExplainCommand from '../../ExplainCommand.js';

/** Lines that the real program wrote on a played day (tuul-press scale-2). */
const RECORDED = fileURLToPath(new URL('recordedLog.jsonl', import.meta.url));

describe('explainRequest', () => {
  let entries: readonly LogEntry[];

  beforeAll(() => {
    entries = readFileSync(RECORDED, 'utf8')
      .split('\n')
      .flatMap((line) => parseLogEntry(line) ?? []);
  });

  function causeOf(request: string): string {
    return explainRequest(entries, request)?.cause ?? 'unknown';
  }

  describe('the three kinds of docs/OPERATIONS.md', () => {
    it('names missing capacity for one refused in a burst', () => {
      expect(causeOf('050df273578ea60a')).toMatch(
        /No target of puje58a would have answered in time: 812 ms expected, 803 ms left.*not run/s,
      );
    });

    it('names the target of one whose answer was lost, and that it may have run', () => {
      expect(causeOf('d5be46fb4910f814')).toMatch(
        /Target i-\w+ had the request and gave no whole answer.*may have run.*must run once/s,
      );
    });

    it('names the belief of one sent to a target that was going bad', () => {
      expect(causeOf('fa6c3a33e916a3c7')).toMatch(
        /Target i-\w+ answered 500\. Expected chance of failure when it was chosen: 0\.0\d/,
      );
    });
  });

  describe('a request that no line tells of', () => {
    it('is not explained', () => {
      expect(explainRequest(entries, 'other')).toBeUndefined();
    });
  });

  describe('lines of other programs', () => {
    ['', 'text', '{', '[]', '{"time":"x","event":"a","host":"b"}', '{"event":7}'].forEach(
      (line) => {
        it(`are left out: ${JSON.stringify(line)}`, () => {
          expect(parseLogEntry(line)).toBeUndefined();
        });
      },
    );

    it('may stand before a line', () => {
      const line = '  1.5 host-1 {"time":"2026-06-26T21:07:57.922Z","event":"stopped","host":"h"}';
      expect(parseLogEntry(line)).toMatchObject({ event: 'stopped', host: 'h' });
    });
  });

  describe('the command', () => {
    async function run(...words: readonly string[]) {
      const cli = new Cli({ binaryName: 'cactusrun' });
      cli.register(ExplainCommand);
      const stdout = new PassThrough();
      const stderr = new PassThrough();
      const stdin = Readable.from([readFileSync(RECORDED)]);
      const status = await cli.run(['explain', ...words], { stdin, stdout, stderr });
      return { status, text: `${stdout.read() ?? ''}`, error: `${stderr.read() ?? ''}` };
    }

    it('explains from files, with the lines on the request', async () => {
      const { status, text } = await run('d5be46fb4910f814', RECORDED);
      expect(status).toBe(0);
      expect(text).toContain('d5be46fb4910f814: connection-broke\n');
      expect(text).toContain('call-failed');
    });

    it('explains from standard input as JSON', async () => {
      const { status, text } = await run('--json', 'fa6c3a33e916a3c7');
      expect(status).toBe(0);
      expect(JSON.parse(text)).toMatchObject({ request: 'fa6c3a33e916a3c7', outcome: 'answered' });
    });

    it('says when nothing is known, and when a file cannot be read', async () => {
      expect(await run('other', RECORDED)).toMatchObject({ status: 2 });
      const missing = await run('other', 'none.jsonl');
      expect(missing.status).toBe(1);
      expect(missing.error).toContain('none.jsonl');
    });
  });
});
