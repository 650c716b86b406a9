/** Reads addresses of hosts, which come from other processes, into a form that every socket takes. */

/** An IPv4 address and a port from 1 to 65535. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const ADDRESS_PATTERN = /^((?:\d{1,3}\.){3}\d{1,3}):([1-9]\d{0,4})$/;
const MAXIMUM_OCTET = 255;
const MAXIMUM_PORT = 65_535;

/**
 * Parses an address of the form `ip:port`. Leading zeros are refused: some programs read such a
 * number as octal.
 *
 * @param text - from anywhere; a value that is no text has no address
 * @returns undefined for everything else
 */
export default function parseAddress(text: unknown): SocketAddress | undefined {
  if (typeof text !== 'string') return undefined;
  const [, host, digits] = ADDRESS_PATTERN.exec(text) ?? [];
  if (host === undefined || !host.split('.').every(isOctet)) return undefined;
  const port = Number(digits);
  return port <= MAXIMUM_PORT ? { host, port } : undefined;
}

function isOctet(digits: string): boolean {
  const value = Number(digits);
  return value <= MAXIMUM_OCTET && String(value) === digits;
}
