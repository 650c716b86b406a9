import { readFile } from 'node:fs/promises';
import { describe, expect, it, vi } from 'vitest';

const PACKAGES = ['placement', 'membership', 'configuration', 'language', 'requests', 'health'];

describe('package examples', () => {
  it.each(PACKAGES)('example of %s runs and equals the code in its README', async (name) => {
    const file = new URL(`../../../../${name}/examples/example.mjs`, import.meta.url);
    const log = vi.spyOn(console, 'log').mockImplementation(() => {});
    await import(/* @vite-ignore */ file.href);
    expect(log).toHaveBeenCalled();
    log.mockRestore();
    const code = (await readFile(file, 'utf8')).split('\n').slice(1).join('\n').trim();
    const readme = await readFile(new URL('../README.md', file), 'utf8');
    expect(readme).toContain(code);
  });
});
