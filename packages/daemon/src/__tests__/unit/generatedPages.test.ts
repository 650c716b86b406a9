import { readdir, readFile, stat } from 'node:fs/promises';
import { describe, expect, it } from 'vitest';
import renderOutcomeTable from '../../renderOutcomeTable.js';
import renderSettingsReference from '../../renderSettingsReference.js';

const ROOT = new URL('../../../../../', import.meta.url);

/** Removes the formatter's alignment of tables. */
function squeeze(text: string): string {
  return text.replace(/[ -]+/g, ' ').trim();
}

async function listPages(folder: URL): Promise<readonly URL[]> {
  const entries = await readdir(folder, { withFileTypes: true });
  const nested = await Promise.all(
    entries
      .filter(({ name }) => name !== 'node_modules' && !name.startsWith('.') && name !== 'dist')
      .map((entry) => {
        if (entry.isDirectory()) return listPages(new URL(`${entry.name}/`, folder));
        return entry.name.endsWith('.md') ? [new URL(entry.name, folder)] : [];
      }),
  );
  return nested.flat();
}

describe('documentation pages', () => {
  it.each([
    ['SETTINGS.md', renderSettingsReference],
    ['OUTCOME-TABLE.md', renderOutcomeTable],
  ])('%s matches the page that the code generates', async (name, render) => {
    const page = await readFile(new URL(`docs/${name}`, ROOT), 'utf8');
    expect(squeeze(page)).toBe(squeeze(render()));
  });

  it('link only to existing files', async () => {
    const pages = await listPages(ROOT);
    const broken = await Promise.all(
      pages.map(async (page) => {
        const text = await readFile(page, 'utf8');
        const links = [...text.matchAll(/\]\(([^)#\s]+)(?:#[^)]*)?\)/g)].map(([, link]) => link!);
        const local = links.filter((link) => !/^[a-z]+:/.test(link));
        const found = await Promise.all(
          local.map((link) =>
            stat(new URL(link, page)).then(
              () => undefined,
              () => `${page.pathname.split('/').slice(-2).join('/')}: ${link}`,
            ),
          ),
        );
        return found.filter((link) => link !== undefined);
      }),
    );
    expect(pages.length).toBeGreaterThan(5);
    expect(broken.flat()).toEqual([]);
  });
});
