/** Header fields between the hops of a request. */
import type { HeaderField } from '@cactusrun/requests';

/** Fields that concern one connection only (RFC 9110, section 7.6.1), and framing. */
const HOP_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Fields of this system, which a caller must not pass on to an upstream, nor the reverse. */
const OWN_PREFIX = 'cactusrun-';

/** Names and values from the flat list that Node gives. */
export function listHeaders(raw: readonly string[]): readonly HeaderField[] {
  return raw.flatMap((name, index) =>
    index % 2 === 0 ? [[name, raw[index + 1] ?? ''] as const] : [],
  );
}

/** The fields that go on to the next hop, without those that the connection or this system owns. */
export function forwardedHeaders(fields: readonly HeaderField[]): readonly HeaderField[] {
  const named = fields
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) =>
      value
        .toLowerCase()
        .split(',')
        .map((part) => part.trim()),
    );
  return fields.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_FIELDS.has(lower) && !named.includes(lower) && !lower.startsWith(OWN_PREFIX);
  });
}

/** Fields in the form that Node takes: repeated names as lists. */
export function joinHeaders(fields: readonly HeaderField[]): Record<string, string | string[]> {
  const joined = new Map<string, string | string[]>();
  fields.forEach(([name, value]) => {
    const key = name.toLowerCase();
    const before = joined.get(key);
    if (before === undefined || key === 'content-length') joined.set(key, value);
    else joined.set(key, [...(Array.isArray(before) ? before : [before]), value]);
  });
  return Object.fromEntries(joined);
}

/** The first value of a field. */
export function headerOf(fields: readonly HeaderField[], name: string): string | undefined {
  return fields.find(([field]) => field.toLowerCase() === name)?.[1];
}
