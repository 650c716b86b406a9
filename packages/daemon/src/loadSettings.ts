/** Reads settings from YAML; reports all problems with file, line, path and allowed values. */
import { readFile } from 'node:fs/promises';
import { CactusrunError, describeError } from '@cactusrun/core';
import { closest } from 'fastest-levenshtein';
import type { Document } from 'yaml';
import { LineCounter, parseDocument } from 'yaml';
import type { z } from 'zod';
import type { Settings } from './SettingsSchema.js';
import { SettingsSchema } from './SettingsSchema.js';

/** Invalid settings; the message has one line per problem. */
export class SettingsError extends CactusrunError {
  public override readonly name = 'SettingsError';

  constructor(public readonly problems: readonly string[]) {
    super(problems.join('\n'), { step: 'reading the settings' });
  }
}

interface Source {
  readonly file: string;
  readonly document: Document;
  readonly lines: LineCounter;
}

type Issue = z.core.$ZodIssue;
type Path = readonly (string | number)[];

function lineOf(source: Source, path: Path): number {
  const node = source.document.getIn(path, true) as { range?: [number, ...number[]] } | undefined;
  if (node?.range !== undefined) return source.lines.linePos(node.range[0]).line;
  return path.length === 0 ? 1 : lineOf(source, path.slice(0, -1));
}

function lineOfKey(source: Source, path: Path, key: string): number {
  const parent = path.length === 0 ? source.document.contents : source.document.getIn(path, true);
  const { items = [] } = (parent ?? {}) as {
    items?: readonly { key?: { value?: unknown; range?: [number, ...number[]] } }[];
  };
  const item = items.find((candidate) => candidate.key?.value === key);
  const range = item?.key?.range;
  return range === undefined ? lineOf(source, path) : source.lines.linePos(range[0]).line;
}

function knownKeys(path: Path): readonly string[] {
  const shape = path.reduce<unknown>((schema, key) => {
    const inner = unwrap(schema) as { shape?: Record<string, unknown>; element?: unknown };
    return typeof key === 'number' ? inner.element : inner.shape?.[key];
  }, SettingsSchema);
  return Object.keys((unwrap(shape) as { shape?: object })?.shape ?? {});
}

function unwrap(schema: unknown): unknown {
  const wrapper = schema as { unwrap?: () => unknown; shape?: unknown; element?: unknown };
  const isWrapped =
    typeof wrapper?.unwrap === 'function' &&
    wrapper.shape === undefined &&
    wrapper.element === undefined;
  return isWrapped ? unwrap(wrapper.unwrap?.()) : schema;
}

function describeUnknownKeys(source: Source, issue: Issue, path: Path): readonly string[] {
  const keys = issue.code === 'unrecognized_keys' ? issue.keys : [];
  const known = knownKeys(path);
  return keys.map((key) => {
    const where = [...path, key].join('.');
    const hint = known.length === 0 ? '' : `; the nearest known key is "${closest(key, known)}"`;
    return `${source.file}:${lineOfKey(source, path, key)}: ${where}: unknown key${hint}`;
  });
}

function describeIssue(source: Source, issue: Issue): readonly string[] {
  const path = issue.path.filter((key): key is string | number => typeof key !== 'symbol');
  if (issue.code === 'unrecognized_keys') return describeUnknownKeys(source, issue, path);
  const found = source.document.getIn(path);
  const value = found === undefined ? 'nothing' : JSON.stringify(found);
  const where = path.join('.');
  return [
    `${source.file}:${lineOf(source, path)}: ${where}: found ${value}; allowed: ${issue.message}`,
  ];
}

/**
 * Parses and validates settings.
 *
 * @param file - file name for the error messages
 * @throws SettingsError
 */
export function parseSettings(text: string, file: string): Settings {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    throw new SettingsError(
      document.errors.map((error) => {
        const { line } = lines.linePos(error.pos[0]);
        return `${file}:${line}: ${error.message.split('\n')[0] ?? ''}`;
      }),
    );
  }
  const result = SettingsSchema.safeParse(document.toJS() ?? {});
  if (result.success) return result.data;
  const source: Source = { file, document, lines };
  throw new SettingsError(result.error.issues.flatMap((issue) => describeIssue(source, issue)));
}

/**
 * Reads and validates a settings file.
 *
 * @throws SettingsError
 */
export async function loadSettings(file: string): Promise<Settings> {
  const text = await readFile(file, 'utf8').catch((error: unknown) => {
    throw new SettingsError([`${file}: ${describeError(error)}`]);
  });
  return parseSettings(text, file);
}
