/** Header fields of requests and answers, and their forwarding to the next hop. */
import type { HeaderField } from '@cactusrun/requests';
import { endToEndHeaders } from '@cactusrun/requests';

/** Fields with this prefix are not forwarded from callers to upstreams, nor in reverse. */
const CACTUSRUN_PREFIX = 'cactusrun-';

/** Fields of the protocol with upstreams; `docs/OUTCOMES.md` describes it. */
export const ZONE_HEADER = 'cactusrun-caller-zone';
export const DEADLINE_HEADER = 'cactusrun-deadline-milliseconds';
/** Identifies one attempt; an upstream repeats it in its answer. */
export const REQUEST_ID_HEADER = 'cactusrun-request-id';
/** States in an answer that the upstream did not run the request. */
export const STATE_HEADER = 'upstream-state';

/** The fields to forward: without hop-by-hop fields and those with the `cactusrun-` prefix. */
export function forwardedHeaders(fields: readonly HeaderField[]): readonly HeaderField[] {
  return endToEndHeaders(fields, (name) => name.startsWith(CACTUSRUN_PREFIX));
}

/** Converts fields to Node's form, in which a repeated name has a list of values. */
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
