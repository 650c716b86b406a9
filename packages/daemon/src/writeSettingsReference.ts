/** Writes the documentation pages generated from the code (`npm run generate:reference`). */
import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { inSequence } from '@cactusrun/core';
import renderOutcomeTable from './renderOutcomeTable.js';
import renderSettingsReference from './renderSettingsReference.js';

const PAGES: Readonly<Record<string, () => string>> = {
  'SETTINGS.md': renderSettingsReference,
  'OUTCOME-TABLE.md': renderOutcomeTable,
};

await inSequence(Object.entries(PAGES), async ([name, render]) => {
  const path = fileURLToPath(new URL(`../../../docs/${name}`, import.meta.url));
  await writeFile(path, render());
});
