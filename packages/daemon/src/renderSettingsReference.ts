/** Generates the reference page of the settings from their schema. */
import { z } from 'zod';
import { SettingsSchema } from './SettingsSchema.js';

interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly required?: readonly string[];
}

function describeDefault(node: SchemaNode, isRequired: boolean): string {
  if (node.default !== undefined) return `\`${JSON.stringify(node.default)}\``;
  return isRequired ? 'required' : '';
}

function listSettings(node: SchemaNode, path: string): readonly string[] {
  return Object.entries(node.properties ?? {}).flatMap(([key, child]) => {
    const name = path === '' ? key : `${path}.${key}`;
    const isRequired = node.required?.includes(key) === true;
    const isGroup = child.properties !== undefined;
    const row = `| \`${name}\` | ${child.type ?? ''} | ${
      isGroup ? '' : describeDefault(child, isRequired)
    } | ${child.description ?? ''} |`;
    const inner =
      child.items?.properties === undefined ? [] : listSettings(child.items, `${name}[]`);
    return [row, ...listSettings(child, name), ...inner];
  });
}

/** Returns the page as Markdown. */
export default function renderSettingsReference(): string {
  const schema = z.toJSONSchema(SettingsSchema, { io: 'input' }) as SchemaNode;
  return [
    '# Settings of a daemon',
    '',
    'Generated from the schema by `npm run generate:reference`; do not edit.',
    '',
    'Settings are read from a YAML file: `cactusrund --settings FILE`. With `--check`, the daemon only',
    'validates the file. All errors are reported together, each with file, line, path, the value found',
    'and what is allowed, and the exit status is 2.',
    '',
    '| setting | type | default | meaning |',
    '| --- | --- | --- | --- |',
    ...listSettings(schema, ''),
    '',
  ].join('\n');
}
