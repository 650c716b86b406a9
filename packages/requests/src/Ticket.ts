/**
 * Tickets: a request key that names the one daemon incarnation which alone may ever dispatch the
 * request. A ticket needs no memory until it is used; a code that only its issuer can compute
 * shows that it was given out.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const PREFIX = 'ct1';
const NONCE_BYTES = 16;
const CODE_BYTES = 16;
const SECRET_BYTES = 32;
const RADIX = 36;
const PARTS = 6;

/** What anybody can read from a ticket. */
export interface TicketFacts {
  readonly host: string;
  readonly incarnation: string;
  /** Monotonic milliseconds of the issuer. */
  readonly issuedAt: number;
}

/** Reads a ticket; undefined for a text that is none. Its code is checked by the issuer only. */
export function readTicket(text: string): TicketFacts | undefined {
  const parts = text.split('~');
  const [prefix, host, incarnation, issued] = parts;
  const issuedAt = Number.parseInt(issued ?? '', RADIX);
  const isWhole = parts.length === PARTS && prefix === PREFIX && Number.isFinite(issuedAt);
  if (!isWhole || !host || !incarnation) return undefined;
  return { host, incarnation, issuedAt };
}

/** Issues the tickets of one incarnation and recognises them. */
export default class TicketIssuer {
  private readonly secret = randomBytes(SECRET_BYTES);

  constructor(
    private readonly host: string,
    private readonly incarnation: string,
  ) {}

  /** A new ticket. The time is monotonic milliseconds. */
  public issue(now: number): string {
    const issued = Math.floor(now).toString(RADIX);
    const nonce = randomBytes(NONCE_BYTES).toString('base64url');
    const text = [PREFIX, this.host, this.incarnation, issued, nonce].join('~');
    return `${text}~${this.code(text).toString('base64url')}`;
  }

  /** Whether this incarnation issued the ticket. */
  public isOwn(ticket: string): boolean {
    const end = ticket.lastIndexOf('~');
    const given = Buffer.from(ticket.slice(end + 1), 'base64url');
    return given.length === CODE_BYTES && timingSafeEqual(given, this.code(ticket.slice(0, end)));
  }

  private code(text: string): Buffer {
    return createHmac('sha256', this.secret).update(text).digest().subarray(0, CODE_BYTES);
  }
}
