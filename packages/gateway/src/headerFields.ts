/** Header fields between the hops of a request. */
import type { HeaderFields } from './TargetCall.js';

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
  'content-length',
]);

/** Names and values from the flat list that Node gives. */
export function listFields(raw: readonly string[]): HeaderFields {
  return raw.flatMap((name, index) =>
    index % 2 === 0 ? [[name, raw[index + 1] ?? ''] as const] : [],
  );
}

/** The fields that go on to the next hop; framing is set anew there. */
export function endToEndFields(
  fields: HeaderFields,
  withheld: ReadonlySet<string> = new Set(),
): HeaderFields {
  const named = new Set(
    fields
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map((name) => name.trim()),
  );
  return fields.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_FIELDS.has(lower) && !named.has(lower) && !withheld.has(lower);
  });
}
