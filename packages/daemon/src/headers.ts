/** Header fields between the hops of a request. */
import type { HeaderField } from '@cactusrun/requests';
import { endToEndHeaders } from '@cactusrun/requests';

/** Fields of this system, which a caller must not pass on to an upstream, nor the reverse. */
const OWN_PREFIX = 'cactusrun-';

/** The fields that go on to the next hop, without those that the connection or this system owns. */
export function forwardedHeaders(fields: readonly HeaderField[]): readonly HeaderField[] {
  return endToEndHeaders(fields, (name) => name.startsWith(OWN_PREFIX));
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
