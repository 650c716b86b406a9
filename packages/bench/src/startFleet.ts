/** `npm start`: a small fleet with embedded stand-ins, for manual use or one measured load. */
import process from 'node:process';
import { createLogger, describeError, systemClock } from '@cactusrun/core';
import Table from 'cli-table3';
import { Cli, Command, Option } from 'clipanion';
import { MINIMUM_GRACE_MILLISECONDS } from '@cactusrun/daemon';
import Caller from './Caller.js';
import type { Deployment, DeploymentName } from './Deployment.js';
import { DEPLOYMENTS } from './Deployment.js';
import Fleet, { operatorAddress } from './Fleet.js';
import publishContracts from './publishContracts.js';
import type { LoadSummary } from './sendMixedLoad.js';
import { sendMixedLoad } from './sendMixedLoad.js';

const DAEMONS = 4;
const JOIN_WAIT_MILLISECONDS = 1_500;
const GRACE_MILLISECONDS = 30_000;
const LOAD = { lookups: 300, orders: 100, uploads: 6, uploadBytes: 300_000, concurrency: 8 };
const EXIT_STATUS = { ok: 0, failed: 1 } as const;

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    ['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => resolve()));
  });
}

class StartCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: 'Starts four daemons in two regions with stand-ins, and runs until interrupted.',
    details:
      'Exit status of --once: 0 if every request got its own answer and none ran twice, else 1.',
  });

  public once = Option.Boolean('--once', false, {
    description: 'Send a mixed load, print a summary and exit.',
  });

  public deployment = Option.String('--deployment', 'kreupelhout', {
    description: 'kreupelhout or tuul.',
  });

  public grace = Option.String('--grace', String(GRACE_MILLISECONDS), {
    description: 'Grace time of each daemon when it is interrupted, in milliseconds.',
  });

  public seed = Option.String('--seed', '1', {
    description: 'Seed of the random number generator.',
  });

  public override async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    const deployment = DEPLOYMENTS[this.deployment as DeploymentName];
    if (deployment === undefined) {
      stderr.write(`--deployment must be ${Object.keys(DEPLOYMENTS).join(' or ')}\n`);
      return EXIT_STATUS.failed;
    }
    const graceMilliseconds = Number(this.grace);
    if (!(graceMilliseconds >= MINIMUM_GRACE_MILLISECONDS)) {
      stderr.write(`--grace must be a number of at least ${MINIMUM_GRACE_MILLISECONDS}\n`);
      return EXIT_STATUS.failed;
    }
    const logger = createLogger('fleet');
    const fleet = new Fleet({
      deployment,
      daemons: DAEMONS,
      seed: Number(this.seed),
      hasLink: true,
      graceMilliseconds,
      ...(this.once ? {} : { logger }),
    });
    try {
      await fleet.start();
      await systemClock.sleep(JOIN_WAIT_MILLISECONDS);
      const milliseconds = await publishContracts(fleet, deployment.name, systemClock);
      stdout.write(`contracts in force on ${DAEMONS} hosts after ${milliseconds.toFixed(0)} ms\n`);
      return this.once
        ? await this.sendLoad(fleet, deployment)
        : await this.runUntilInterrupted(fleet, deployment);
    } catch (error) {
      stderr.write(`${describeError(error)}\n`);
      return EXIT_STATUS.failed;
    } finally {
      await fleet.stop();
    }
  }

  private async sendLoad(fleet: Fleet, deployment: Deployment): Promise<number> {
    const callerSideDaemons = fleet.daemons.filter(
      ({ host }) => host.region === deployment.callerRegion,
    );
    const addresses = callerSideDaemons.map(({ host }) => host.callerAddress);
    const caller = new Caller(addresses, callerSideDaemons[0]?.host.zone ?? '', systemClock);
    const summary = await sendMixedLoad(fleet, caller, deployment, LOAD);
    await caller.close();
    this.printSummary(summary);
    const isSuccess =
      summary.answered === summary.requests && summary.wrongAnswers === 0 && summary.ranTwice === 0;
    return isSuccess ? EXIT_STATUS.ok : EXIT_STATUS.failed;
  }

  private printSummary(summary: LoadSummary): void {
    const table = new Table({ head: ['figure', 'value'], style: { head: [], border: [] } });
    const { addedMilliseconds, ...counts } = summary;
    Object.entries(counts).forEach(([name, value]) => table.push([name, value]));
    table.push(['added p50 (ms, link included)', addedMilliseconds.p50]);
    table.push(['added p99 (ms, link included)', addedMilliseconds.p99]);
    this.context.stdout.write(`${table.toString()}\n${JSON.stringify(summary)}\n`);
  }

  private async runUntilInterrupted(fleet: Fleet, deployment: Deployment): Promise<number> {
    const { stdout } = this.context;
    const table = new Table({
      head: ['host', 'zone', 'callers', 'operators'],
      style: { head: [], border: [] },
    });
    fleet.daemons.forEach(({ host }, index) => {
      table.push([host.name, host.zone, host.callerAddress, operatorAddress(index)]);
    });
    const callerSideDaemon = fleet.daemons.find(
      ({ host }) => host.region === deployment.callerRegion,
    );
    stdout.write(`${table.toString()}\n`);
    stdout.write(
      `try: curl -i http://${callerSideDaemon?.host.callerAddress}${deployment.lookup.path}\n`,
    );
    stdout.write(`try: npx cactusrun --host ${operatorAddress(0)} 'SHOW HOSTS'\n`);
    await waitForSignal();
    stdout.write('shutting down gracefully; interrupt again to stop immediately\n');
    await Promise.race([
      Promise.all(fleet.daemons.map((daemon) => daemon.stop())),
      waitForSignal(),
    ]);
    return EXIT_STATUS.ok;
  }
}

const cli = new Cli({
  enableColors: process.stdout.isTTY === true,
  binaryName: 'npm start --',
  binaryVersion: '0.1.0',
});
cli.register(StartCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
