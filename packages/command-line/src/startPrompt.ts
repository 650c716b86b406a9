/** The interactive prompt: a semicolon ends a script, and earlier lines can be recalled. */
import { createInterface } from 'node:readline/promises';
import { describeError } from '@cactusrun/core';

const HISTORY_LINES = 500;

export interface PromptOptions {
  readonly input: NodeJS.ReadableStream;
  readonly output: NodeJS.WritableStream;
  /** Runs one script and prints its result. */
  readonly run: (script: string) => Promise<number>;
}

/** Runs scripts from the input; resolves when the input has ended. */
export async function startPrompt(options: PromptOptions): Promise<void> {
  const { input, output, run } = options;
  const prompt = createInterface({
    input,
    output,
    historySize: HISTORY_LINES,
    prompt: 'cactusrun> ',
  });
  let script = '';
  prompt.prompt();
  const runScript = async (): Promise<void> => {
    const completeScript = script;
    script = '';
    await run(completeScript).catch((error: unknown) => output.write(`${describeError(error)}\n`));
  };
  const iterator = prompt[Symbol.asyncIterator]();
  let line = await iterator.next();
  while (!line.done) {
    script += `${line.value}\n`;
    const isComplete = line.value.trimEnd().endsWith(';') && countOpenBraces(script) === 0;
    // Scripts run sequentially, in the order in which they were typed.
    // eslint-disable-next-line no-await-in-loop
    if (isComplete) await runScript();
    prompt.setPrompt(script === '' ? 'cactusrun> ' : '       ... ');
    prompt.prompt();
    // eslint-disable-next-line no-await-in-loop
    line = await iterator.next();
  }
  if (script.trim() !== '') await runScript();
}

/** Number of braces that have not been closed; statements span lines inside braces. */
function countOpenBraces(text: string): number {
  return (text.match(/\{/g)?.length ?? 0) - (text.match(/\}/g)?.length ?? 0);
}
