import { describe, expect, it } from 'vitest';
import type { OperatorClient } from '@cactusrun/command-line';
import { ScriptRunner } from '@cactusrun/command-line';
import { parseScript } from '@cactusrun/language';
import OperatorQueries from '../../OperatorQueries.js';
import type PeerClients from '../../PeerClients.js';
import type ShardRegistry from '../../ShardRegistry.js';
import FakeControlFleet from '../unit/FakeControlFleet.js';

/** One command of a session: the script and the flags of the command-line tool. */
interface SessionLine {
  readonly script: string;
  readonly identity?: string;
  readonly isDryRun?: boolean;
  readonly isJson?: boolean;
  readonly baseRevision?: number;
  /** Runs before the command. */
  readonly before?: (fleet: FakeControlFleet) => void;
}

const STOCK = `CREATE CONTRACT stock {
  REGION west; SLOTS PER TARGET 2; CONNECTIONS PER SLOT 3; FLOOR 70%; DEADLINE 2s; EJECTION careful;
  TARGET a AT 127.0.1.1:9000 IN west-a; TARGET b AT 127.0.1.2:9000 IN west-b;
  ROUTE GET,HEAD "/stock" idempotent PRIORITY high;
}`;

const SESSIONS: Readonly<Record<string, readonly SessionLine[]>> = {
  'a-day': [
    { script: 'SHOW REVISION' },
    { script: STOCK, isDryRun: true },
    { script: STOCK },
    { script: 'SHOW CONTRACTS; SHOW ROUTES' },
    { script: 'SHOW CONTRACT stock' },
    { script: 'CHANGE CONTRACT stock { FLOOR 50%; ADD TARGET c AT 127.0.1.3:9000 IN west-a; }' },
    { script: 'DRAIN TARGET a OF stock; RETURN TARGET a OF stock' },
    { script: 'SHOW CHANGES' },
    { script: 'SHOW HOLDS' },
    { script: 'SHOW HOSTS', isJson: true },
    { script: 'WITHDRAW CONTRACT stock' },
    { script: 'SHOW CONTRACTS' },
  ],
  mistakes: [
    { script: 'SHOW TARGTS' },
    { script: 'CREATE CONTRACT stock {\n  REGION west;\n  SLOTS PER TARGET two;\n}' },
    { script: 'CHANGE CONTRACT stock { FLOOR 50%; }' },
    { script: STOCK },
    { script: STOCK },
    { script: 'CHANGE CONTRACT stock { REMOVE TARGET z; }' },
    { script: 'DRAIN TARGET z OF stock' },
    { script: 'CHANGE CONTRACT stock { FLOOR 170%; }' },
    { script: 'SHOW REVISION; DRAIN TARGET a OF stock' },
    { script: 'LIFT HOLD abc OF stock' },
  ],
  'two-operators': [
    { script: STOCK, identity: 'first' },
    { script: 'CHANGE CONTRACT stock { FLOOR 50%; }', identity: 'left', baseRevision: 0 },
    { script: 'CHANGE CONTRACT stock { FLOOR 60%; }', identity: 'right', baseRevision: 0 },
    { script: 'CHANGE CONTRACT stock { FLOOR 50%; }', identity: 'left', baseRevision: 0 },
    { script: 'SHOW CHANGES' },
  ],
  'platform-away': [
    { script: STOCK, identity: 'first' },
    {
      script: 'CHANGE CONTRACT stock { FLOOR 50%; }',
      identity: 'away',
      before: ({ log }) => Object.assign(log, { isDown: true }),
    },
    { script: 'SHOW CONTRACTS' },
    {
      script: 'CHANGE CONTRACT stock { FLOOR 50%; }',
      identity: 'away',
      before: ({ log }) => Object.assign(log, { isDown: false }),
    },
    {
      script: 'CHANGE CONTRACT stock { FLOOR 40%; }',
      identity: 'lost-reply',
      before: ({ log }) => Object.assign(log, { losesReplies: true }),
    },
    { script: 'SHOW CHANGES' },
  ],
};

/** A client that calls the daemon's operator services directly instead of over the network. */
function clientOf(fleet: FakeControlFleet): OperatorClient {
  const node = fleet.nodes.get(0)!;
  const queriesOf = (index: number) => {
    const { host, store, membership, counters } = fleet.nodes.get(index)!;
    return new OperatorQueries({
      self: host,
      store,
      membership,
      counters,
      registry: { report: () => [], inFlight: 0 } as unknown as ShardRegistry,
      clients: {
        to: (peer: { name: string }) => ({
          inspect: async (request: { query: string }) => {
            const other = [...fleet.nodes].find(([, { host: found }]) => found.name === peer.name)!;
            const rows = await queriesOf(other[0]).answerLocally(JSON.parse(request.query));
            return { json: JSON.stringify(rows) };
          },
        }),
      } as unknown as PeerClients,
      isLogReachable: () => !fleet.log.isDown,
      reportedLoad: () => undefined,
    });
  };
  return {
    query: async (script: string) => {
      const queries = parseScript(script).flatMap((statement) =>
        statement.kind === 'query' ? [statement.query] : [],
      );
      return Promise.all(queries.map((query) => queriesOf(0).answer(query)));
    },
    change: (order: Parameters<OperatorClient['change']>[0]) => node.changeService.submit(order),
  } as unknown as OperatorClient;
}

async function recordSession(lines: readonly SessionLine[]): Promise<string> {
  const fleet = new FakeControlFleet(1);
  await fleet.start(3);
  let transcript = '';
  const runner = new ScriptRunner({
    client: clientOf(fleet),
    write: (text) => {
      transcript += text;
    },
    sleep: (milliseconds) => fleet.clock.sleep(milliseconds),
    now: () => fleet.clock.now(),
  });
  await lines.reduce<Promise<void>>(async (before, line, index) => {
    await before;
    line.before?.(fleet);
    const { script, identity = `change-${index}`, isDryRun = false, isJson = false } = line;
    transcript += `> ${script}${isDryRun ? '  (--dry-run)' : ''}${isJson ? '  (--json)' : ''}\n`;
    const running = runner.run(script, {
      isJson,
      isDryRun,
      hasColours: false,
      identity,
      author: 'operator',
      ...(line.baseRevision === undefined ? {} : { baseRevision: line.baseRevision }),
      waitMilliseconds: 13_000,
    });
    const status = await fleet.settle(running, 60_000);
    transcript += `exit ${status}\n\n`;
  }, Promise.resolve());
  await fleet.stop();
  return transcript;
}

describe('command-line sessions', () => {
  it.each(Object.keys(SESSIONS))('produces the recorded transcript: %s', async (name) => {
    const transcript = await recordSession(SESSIONS[name]!);
    await expect(transcript).toMatchFileSnapshot(`./${name}.txt`);
  });
});
