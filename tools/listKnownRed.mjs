/** Reads the test files that `KNOWN-RED.txt` lists as failing for a known fault. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

const LIST = join(import.meta.dirname, '../KNOWN-RED.txt');

/** Paths of the listed test files, relative to the root of the repository. */
export function listKnownRed() {
  const text = readFileSync(LIST, 'utf8');
  return [...text.matchAll(/^\d+\. test: ([^\s,]+)/gm)].map(([, path]) => path);
}
