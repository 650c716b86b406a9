/** Runs one case. Its exit status tells `run.sh` whether the rule held, was broken or was not tried. */
import Platform from './Platform.mjs';
import Record from './Record.mjs';

const MAXIMUM_MILLISECONDS = 115_000;
/** Exit statuses; that of a broken rule is one that Node doesn't use itself. */
const STATUS = { held: 0, broken: 10, notRun: 2 };

/**
 * @param folder - folder of the case
 * @param bounds - settings that are alike on all hosts
 * @param play - plays the case; returns the sentences that say how the rule was broken
 */
export default async function runCase(folder, bounds, play) {
  const record = new Record(folder);
  const platform = new Platform(record, bounds);
  const hasTrouble = process.env.TROUBLE !== '0';
  record.say(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  const finish = (status) => {
    platform.stop();
    record.save();
    process.exit(status);
  };
  process.on('uncaughtException', (error) => {
    record.say(`the case could not run: ${error.stack}`);
    finish(STATUS.notRun);
  });
  setTimeout(() => {
    record.say('the case took too long');
    finish(STATUS.notRun);
  }, MAXIMUM_MILLISECONDS).unref();
  try {
    const breaches = await play({ platform, record, hasTrouble });
    breaches.forEach((breach) => record.say(breach));
    record.say(breaches.length === 0 ? 'the rule held' : 'the rule was BROKEN');
    finish(breaches.length === 0 ? STATUS.held : STATUS.broken);
  } catch (error) {
    record.say(`the case could not run: ${error.stack}`);
    finish(STATUS.notRun);
  }
}
