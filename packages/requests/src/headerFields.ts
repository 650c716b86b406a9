/** Conversion and filtering of HTTP header fields. */
import type { HeaderField } from './Attempt.js';

/** Hop-by-hop fields (RFC 9110, section 7.6.1), and fields of message framing. */
const HOP_BY_HOP_FIELDS: ReadonlySet<string> = new Set([
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

/** Pairs of names and values from the flat `rawHeaders` list of Node. */
export function listHeaders(raw: readonly string[]): readonly HeaderField[] {
  return raw.flatMap((name, index) =>
    index % 2 === 0 ? [[name, raw[index + 1] ?? ''] as const] : [],
  );
}

/**
 * The fields that are forwarded to the next hop, without hop-by-hop fields.
 *
 * @param isExcluded - whether to drop a further field, given its lower-case name
 */
export function endToEndHeaders(
  fields: readonly HeaderField[],
  isExcluded: (name: string) => boolean,
): readonly HeaderField[] {
  const connectionOptions = new Set(
    fields
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map((name) => name.trim()),
  );
  return fields.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_FIELDS.has(lower) && !connectionOptions.has(lower) && !isExcluded(lower);
  });
}
