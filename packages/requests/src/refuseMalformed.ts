/** The response to bytes that the HTTP parser of Node rejects. */
import type { Socket } from 'node:net';

/** Status lines by the error code of the parser; others get 400. */
const STATUS_BY_PARSER_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Answers a malformed request and closes its connection.
 *
 * @param headerLines - additional header lines, each terminated by CRLF
 */
export default function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
  headerLines = '',
): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_PARSER_ERROR[error.code ?? ''] ?? '400 Bad Request';
  socket.end(`HTTP/1.1 ${status}\r\n${headerLines}connection: close\r\ncontent-length: 0\r\n\r\n`);
}
