/** Command-line entry point of the daemon. */
import process from 'node:process';
import { createLogger, describeError, systemClock } from '@cactusrun/core';
import { Builtins, Cli, Command, Option } from 'clipanion';
import { loadSettings, SettingsError } from './loadSettings.js';
import { startDaemon } from './wireDaemon.js';

const EXIT = { ok: 0, failed: 1, badSettings: 2, environment: 3 } as const;
const SEED_RANGE = 2 ** 31;

class RunCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: 'Runs one daemon of the fleet.',
    details: `
      Runs until SIGTERM or SIGINT, then shuts down gracefully after the requests in flight.

      Exit status: 0 after a graceful shutdown; 1 when it could not start; 2 for invalid settings;
      3 when the environment enables io_uring, which the daemon refuses to run with.
    `,
    examples: [
      ['Run', '$0 --settings examples/kreupelhout/host-1.yaml'],
      ['Check the settings only', '$0 --settings examples/kreupelhout/host-1.yaml --check'],
    ],
  });

  public settings = Option.String('--settings', {
    required: true,
    description: 'The settings file (YAML).',
  });

  public check = Option.Boolean('--check', false, {
    description: 'Check the settings and exit.',
  });

  public override async execute(): Promise<number> {
    if (process.env.UV_USE_IO_URING === '1') {
      this.context.stderr.write('UV_USE_IO_URING is set: the daemon does not run with io_uring\n');
      return EXIT.environment;
    }
    try {
      return await this.run();
    } catch (error) {
      this.context.stderr.write(`${describeError(error)}\n`);
      return error instanceof SettingsError ? EXIT.badSettings : EXIT.failed;
    }
  }

  private async run(): Promise<number> {
    const settings = await loadSettings(this.settings);
    if (this.check) {
      this.context.stdout.write(`${this.settings}: settings are valid\n`);
      return EXIT.ok;
    }
    const logger = createLogger(settings.host.name);
    const seed = Math.floor(Math.random() * SEED_RANGE);
    const signalled = awaitSignal();
    const daemon = await startDaemon({ settings, clock: systemClock, logger, seed });
    const cause = await Promise.race([signalled, daemon.replaced.then(() => 'replaced')]);
    logger.info('asked-to-leave', { cause });
    await daemon.stop();
    return EXIT.ok;
  }
}

/** A signal during the start, or a repeated one, must not end a process that serves requests. */
function awaitSignal(): Promise<string> {
  return new Promise((resolve) => {
    ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => resolve(signal)));
  });
}

const cli = new Cli({
  enableColors: process.stdout.isTTY === true,
  binaryName: 'cactusrund',
  binaryLabel: 'cactusrund',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
