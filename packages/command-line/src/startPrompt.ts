/** The interactive prompt: statements end with a semicolon, and earlier ones can be called back. */
import { createInterface } from 'node:readline/promises';
import { describeError } from '@cactusrun/core';

const HISTORY_LINES = 500;

export interface PromptOptions {
  readonly input: NodeJS.ReadableStream;
  readonly output: NodeJS.WritableStream;
  /** Runs one script and prints what came of it. */
  readonly run: (script: string) => Promise<number>;
}

/** Reads scripts until the input ends; returns when it has. */
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
    const whole = script;
    script = '';
    await run(whole).catch((error: unknown) => output.write(`${describeError(error)}\n`));
  };
  const iterator = prompt[Symbol.asyncIterator]();
  let line = await iterator.next();
  while (!line.done) {
    script += `${line.value}\n`;
    const isWhole = line.value.trimEnd().endsWith(';') && countOpen(script) === 0;
    // One script after another, in the order they are typed.
    // eslint-disable-next-line no-await-in-loop
    if (isWhole) await runScript();
    prompt.setPrompt(script === '' ? 'cactusrun> ' : '       ... ');
    prompt.prompt();
    // eslint-disable-next-line no-await-in-loop
    line = await iterator.next();
  }
  if (script.trim() !== '') await runScript();
}

/** Braces that are still open. */
function countOpen(text: string): number {
  return (text.match(/\{/g)?.length ?? 0) - (text.match(/\}/g)?.length ?? 0);
}
