import { readFile } from 'node:fs/promises';
import { describe, expect, it } from 'vitest';
import { parseSettings, SettingsError } from '../../loadSettings.js';

const EXAMPLE = new URL('../../../../../examples/tuul/host-1.yaml', import.meta.url);

function mistakesOf(text: string): readonly string[] {
  try {
    parseSettings(text, 'file.yaml');
    return [];
  } catch (error) {
    return error instanceof SettingsError ? error.problems : [String(error)];
  }
}

describe('parseSettings', () => {
  it.each(['kreupelhout', 'tuul'])('accepts the example of %s', async (name) => {
    const path = new URL(`../../../../../examples/${name}/host-1.yaml`, import.meta.url);
    expect(parseSettings(await readFile(path, 'utf8'), 'x').host.zone).toBeTruthy();
  });

  it.each([
    [
      'a wrong address',
      'callers: 127.0.0.21:8080',
      'callers: twelve',
      ':7: addresses.callers: found "twelve"; allowed: an address of the form ip:port',
    ],
    [
      'an unknown key',
      'zone: capital-a',
      'zoen: capital-a',
      ':4: host.zoen: unknown key; the nearest known key is "zone"',
    ],
    [
      'an unknown section',
      'platform:',
      'platfrom:',
      ':11: platfrom: unknown key; the nearest known key is "platform"',
    ],
    [
      'a number out of range',
      'retentionMilliseconds: 86400000',
      'retentionMilliseconds: 5',
      'platform.retentionMilliseconds: found 5',
    ],
  ])('reports line, path, value and allowed values: %s', async (_, right, wrong, expected) => {
    const text = (await readFile(EXAMPLE, 'utf8')).replace(right, wrong);
    expect(mistakesOf(text).join('\n')).toContain(expected);
  });

  it('reports all problems together', async () => {
    const text = (await readFile(EXAMPLE, 'utf8'))
      .replace('callers: 127.0.0.21:8080', 'callers: x')
      .replace('operators: 127.0.0.21:9090', 'operators: y');
    expect(mistakesOf(text)).toHaveLength(2);
  });

  it('reports the line of a YAML syntax error', () => {
    expect(mistakesOf('host: [1')[0]).toMatch(/^file\.yaml:\d+: /);
  });
});
