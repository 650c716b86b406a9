/** The answer to what Node's parser does not take for a request. */
import type { Socket } from 'node:net';

/** Statuses by the code of the parser's error. */
const PARSER_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Ends a connection whose bytes are no request.
 *
 * @param fields - further header lines of the answer, each with its line end
 */
export default function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
  fields = '',
): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = PARSER_STATUS[error.code ?? ''] ?? '400 Bad Request';
  socket.end(`HTTP/1.1 ${status}\r\n${fields}connection: close\r\ncontent-length: 0\r\n\r\n`);
}
