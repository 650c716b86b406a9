/** `npm run bench:slopes`: memory and time of one daemon at several sizes, with a linear fit. */
import process from 'node:process';
import { Cli, Command, Option } from 'clipanion';
import measureConfigurationSlopes from './measure/measureConfigurationSlopes.js';
import measureMemberSlopes from './measure/measureMemberSlopes.js';
import measureRequestState from './measure/measureRequestState.js';
import { publishSections } from './Measurement.js';

class SlopesCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: 'Measures memory and time of one daemon at five sizes, with a linear fit.',
  });

  public page = Option.String('--page', 'docs/MEASUREMENTS.md', {
    description: 'Markdown page to append to.',
  });

  public override async execute(): Promise<number> {
    const sections = [
      ...measureConfigurationSlopes(),
      ...(await measureMemberSlopes()),
      measureRequestState(),
    ];
    await publishSections('Slopes', sections, this.page);
    return 0;
  }
}

const cli = new Cli({
  enableColors: process.stdout.isTTY === true,
  binaryName: 'npm run bench:slopes --',
  binaryVersion: '0.1.0',
});
cli.register(SlopesCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
