/** Whether the end of an answer can be told from a connection that breaks off. */
import type { IncomingMessage } from 'node:http';

const EMPTY_STATUSES: readonly number[] = [204, 304];

/**
 * A body has a length, or ends with a last chunk; any other lasts until its connection closes, as
 * it also does when the upstream crashes.
 */
export default function hasVisibleEnd(response: IncomingMessage, method: string): boolean {
  const { headers, statusCode = 0 } = response;
  if (method === 'HEAD' || EMPTY_STATUSES.includes(statusCode)) return true;
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) return /(^|,)\s*chunked\s*$/i.test(coding);
  return headers['content-length'] !== undefined;
}
