/**
 * Tickets: idempotency keys that name the only daemon incarnation that may dispatch the request. An
 * unused ticket needs no stored state; a message authentication code (MAC) proves that the issuer
 * created it.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const PREFIX = 'ct1';
const NONCE_BYTES = 16;
const MAC_BYTES = 16;
const SECRET_BYTES = 32;
const RADIX = 36;
const PART_COUNT = 6;

/** The fields of a ticket that can be read without the secret of its issuer. */
export interface TicketFields {
  readonly host: string;
  readonly incarnation: string;
  /** Monotonic time of the issuer, in milliseconds. */
  readonly issuedAt: number;
}

/** Parses a ticket; undefined if malformed. Only the issuer can verify its MAC. */
export function readTicket(text: string): TicketFields | undefined {
  const parts = text.split('~');
  const [prefix, host, incarnation, issued] = parts;
  const issuedAt = Number.parseInt(issued ?? '', RADIX);
  const isWellFormed =
    parts.length === PART_COUNT && prefix === PREFIX && Number.isFinite(issuedAt);
  if (!isWellFormed || !host || !incarnation) return undefined;
  return { host, incarnation, issuedAt };
}

/** Issues and verifies the tickets of one incarnation. */
export default class TicketIssuer {
  private readonly secret = randomBytes(SECRET_BYTES);

  constructor(
    private readonly host: string,
    private readonly incarnation: string,
  ) {}

  /** @param now - monotonic milliseconds */
  public issue(now: number): string {
    const issued = Math.floor(now).toString(RADIX);
    const nonce = randomBytes(NONCE_BYTES).toString('base64url');
    const payload = [PREFIX, this.host, this.incarnation, issued, nonce].join('~');
    return `${payload}~${this.computeMac(payload).toString('base64url')}`;
  }

  /** Whether this incarnation issued the ticket. */
  public isOwn(ticket: string): boolean {
    const end = ticket.lastIndexOf('~');
    const mac = Buffer.from(ticket.slice(end + 1), 'base64url');
    return mac.length === MAC_BYTES && timingSafeEqual(mac, this.computeMac(ticket.slice(0, end)));
  }

  private computeMac(payload: string): Buffer {
    return createHmac('sha256', this.secret).update(payload).digest().subarray(0, MAC_BYTES);
  }
}
