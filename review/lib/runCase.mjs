/** Runs one case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
import Platform from './Platform.mjs';
import Record from './Record.mjs';

const MAXIMUM_MILLISECONDS = 115_000;

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
  setTimeout(() => {
    record.say('the case took too long');
    finish(2);
  }, MAXIMUM_MILLISECONDS).unref();
  try {
    const breaches = await play({ platform, record, hasTrouble });
    breaches.forEach((breach) => record.say(breach));
    record.say(breaches.length === 0 ? 'the rule held' : 'the rule was BROKEN');
    finish(breaches.length === 0 ? 0 : 1);
  } catch (error) {
    record.say(`the case could not run: ${error.stack}`);
    finish(2);
  }
}
