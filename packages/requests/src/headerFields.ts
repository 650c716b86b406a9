/** Header fields between the hops of a request. */
import type { HeaderField } from './Attempt.js';

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

/** Names and values from the flat list that Node gives. */
export function listHeaders(raw: readonly string[]): readonly HeaderField[] {
  return raw.flatMap((name, index) =>
    index % 2 === 0 ? [[name, raw[index + 1] ?? ''] as const] : [],
  );
}

/**
 * The fields that go on to the next hop, without those that concern one connection.
 *
 * @param isWithheld - tells by its lower-case name whether a further field stays behind
 */
export function endToEndHeaders(
  fields: readonly HeaderField[],
  isWithheld: (name: string) => boolean,
): readonly HeaderField[] {
  const named = new Set(
    fields
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map((name) => name.trim()),
  );
  return fields.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_FIELDS.has(lower) && !named.has(lower) && !isWithheld(lower);
  });
}
