/**
 * `npm run bench`: added time, throughput, the link, control cost by fleet size, and the decisions
 * of keepers (the daemon through which all requests to a shard's targets go).
 */
import process from 'node:process';
import { inSequence } from '@cactusrun/core';
import { Cli, Command, Option } from 'clipanion';
import { DEPLOYMENTS } from './Deployment.js';
import measureAddedTime from './measure/measureAddedTime.js';
import measureControl from './measure/measureControl.js';
import measureLink from './measure/measureLink.js';
import measurePolicies from './measure/measurePolicies.js';
import type { Section } from './Measurement.js';
import { publishSections } from './Measurement.js';

type Part = 'added-time' | 'link' | 'control' | 'policies';

class BenchCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: 'Measures a fleet with stand-ins and appends the figures to a page.',
    examples: [
      ['Everything', 'npm run bench'],
      ['One part', 'npm run bench -- --part link'],
    ],
  });

  public seed = Option.String('--seed', '1');

  public page = Option.String('--page', 'docs/MEASUREMENTS.md', {
    description: 'Markdown page to append to.',
  });

  public part = Option.Array('--part', {
    description: 'added-time, link, control or policies; default: all of them.',
  });

  public requests = Option.String('--requests', '1500', {
    description: 'Request pairs of the added-time part; the link part sends a tenth.',
  });

  public sizes = Option.String('--sizes', '4,8,16,34,128', {
    description: 'Fleet sizes of the control part.',
  });

  public override async execute(): Promise<number> {
    const seed = Number(this.seed);
    const requests = Number(this.requests);
    const { kreupelhout, tuul } = DEPLOYMENTS;
    const parts: Readonly<Record<Part, () => Promise<readonly Section[]>>> = {
      'added-time': async () => [
        ...(await measureAddedTime(kreupelhout, requests, seed)),
        ...(await measureAddedTime(tuul, requests, seed)),
      ],
      link: async () => [
        ...(await measureLink(kreupelhout, requests / 10, seed)),
        ...(await measureLink(tuul, requests / 10, seed)),
      ],
      control: () => measureControl(kreupelhout, this.sizes.split(',').map(Number), seed),
      policies: () => measurePolicies(seed),
    };
    const chosen = (this.part ?? Object.keys(parts)) as readonly Part[];
    const unknown = chosen.filter((part) => !Object.hasOwn(parts, part));
    if (unknown.length > 0) {
      this.context.stderr.write(`--part must be one of ${Object.keys(parts).join(', ')}\n`);
      return 2;
    }
    const sections: Section[] = [];
    await inSequence(chosen, async (part) => {
      sections.push(...(await parts[part]()));
    });
    await publishSections(`Bench, seed ${seed}`, sections, this.page);
    return 0;
  }
}

const cli = new Cli({
  enableColors: process.stdout.isTTY === true,
  binaryName: 'npm run bench --',
  binaryVersion: '0.1.0',
});
cli.register(BenchCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
