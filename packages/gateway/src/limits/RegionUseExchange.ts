/**
 * Exchanges the use of quotas between regions, whose daemons know each other by address only. One
 * entry of each region reports to the one that reports for the other region, which passes it on to the
 * entries of its own.
 */
import type { Clock, Logger, Random, Stop } from '@cactusrun/core';
import { shuffle, startRepeatedTask } from '@cactusrun/core';
import type EntryDirectory from '../fleet/EntryDirectory.js';
import type FleetMembers from '../fleet/FleetMembers.js';
import type { PeerSender } from '../fleet/PeerLink.js';
import type { PeerDescription, PeerMessage, WorkspaceUse } from '../fleet/PeerMessage.js';
import type WorkspaceQuotas from './WorkspaceQuotas.js';

const STEP_MILLISECONDS = 120;
/** Every this many steps all uses are reported. */
const ROUND_STEPS = 4;
/** Every this many steps there is a message, be it empty, so that the region is heard. */
const KEEP_ALIVE_STEPS = 2;
/** A daemon of another region that was not heard for this long is not relied on. */
const CONTACT_TIMEOUT_MILLISECONDS = 1_000;
/** Addresses of another region that are tried while none there is heard. */
const TRIED_ADDRESSES = 3;
/** Uses in one message, below the largest datagram. */
const USES_PER_MESSAGE = 200;
/** Senders of other regions whose last message is remembered. */
const MAXIMUM_SENDERS = 64;

type RegionUseMessage = Extract<PeerMessage, { kind: 'region-use' }>;

/** The daemon that reports for another region, as it was heard last. */
interface RegionContact {
  readonly address: string;
  /** Monotonic time. */
  readonly heardAt: number;
}

export interface RegionUseExchangeParts {
  readonly describeSelf: () => PeerDescription;
  /** Region of each availability zone. */
  readonly regions: Readonly<Record<string, string>>;
  readonly quotas: WorkspaceQuotas;
  readonly members: Pick<FleetMembers, 'knownAddresses'>;
  readonly directory: Pick<EntryDirectory, 'isEntry' | 'entryAddresses'>;
  readonly link: PeerSender;
  /** Reports to the peers of the region what this daemon counted. */
  readonly reportToPeers: () => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export default class RegionUseExchange {
  private steps = 0;

  private sentMessages = 0;

  private readonly contacts = new Map<string, RegionContact>();

  /** Number of the last message of each sender in other regions, by its name and incarnation. */
  private readonly lastNumbers = new Map<string, number>();

  constructor(private readonly parts: RegionUseExchangeParts) {}

  /** Applies a report of another region, and passes it on if it came from there. */
  public receive(message: RegionUseMessage, from: string): void {
    const { describeSelf, directory, link, quotas, clock } = this.parts;
    const { sender, incarnation, region, address, part, uses } = message;
    if (region === describeSelf().region || !this.isNews(message)) return;
    this.contacts.set(region, { address, heardAt: clock.now() });
    quotas.applyRegionReport({ region, reporter: { name: sender, incarnation }, part, uses });
    if (from === address) link.send(directory.entryAddresses(), message);
  }

  /** Reports what is due, until the returned function is called. */
  public start(): Stop {
    const { clock, logger } = this.parts;
    const step = async (signal: AbortSignal) => {
      this.step();
      await clock.sleep(STEP_MILLISECONDS, signal);
    };
    return startRepeatedTask({ name: 'use of workspaces', step, clock, logger });
  }

  private step(): void {
    const { quotas } = this.parts;
    this.steps += 1;
    if (!quotas.isInUse) return;
    quotas.sweep();
    if (quotas.hasReport()) this.parts.reportToPeers();
    const uses = quotas.takeRegionUses(this.steps % ROUND_STEPS === 0 ? 'round' : 'urgent');
    const isDue = uses.length > 0 || this.steps % KEEP_ALIVE_STEPS === 0;
    if (isDue && this.isReporter()) this.send(uses);
  }

  private send(uses: readonly WorkspaceUse[]): void {
    const { describeSelf, quotas, link } = this.parts;
    const { name: sender, incarnation, region, address } = describeSelf();
    const receivers = this.receivers();
    const part = quotas.regionPart;
    const messages = Math.max(1, Math.ceil(uses.length / USES_PER_MESSAGE));
    Array.from({ length: messages }, (_, index) => index * USES_PER_MESSAGE).forEach((start) => {
      this.sentMessages += 1;
      const own = { sender, incarnation, region, address, number: this.sentMessages, part };
      const some = uses.slice(start, start + USES_PER_MESSAGE);
      link.send(receivers, { kind: 'region-use', ...own, uses: some });
    });
  }

  /** One entry reports for all: the one with the first address. */
  private isReporter(): boolean {
    const { describeSelf, directory } = this.parts;
    const { address } = describeSelf();
    return directory.isEntry() && directory.entryAddresses().every((other) => address < other);
  }

  private receivers(): readonly string[] {
    const own = this.parts.describeSelf().region;
    const others = new Set(Object.values(this.parts.regions).filter((region) => region !== own));
    return [...others].flatMap((region) => this.receiversIn(region));
  }

  private receiversIn(region: string): readonly string[] {
    const { members, clock, random } = this.parts;
    const contact = this.contacts.get(region);
    const isHeard =
      contact !== undefined && clock.now() - contact.heardAt < CONTACT_TIMEOUT_MILLISECONDS;
    if (isHeard) return [contact.address];
    const known = members.knownAddresses().filter((peer) => peer.region === region);
    const addresses = known.map(({ address }) => address);
    return shuffle(random, addresses).slice(0, TRIED_ADDRESSES);
  }

  private isNews({ sender, incarnation, number }: RegionUseMessage): boolean {
    const key = `${sender} ${incarnation}`;
    const last = this.lastNumbers.get(key) ?? 0;
    if (number <= last) return false;
    this.lastNumbers.delete(key);
    this.lastNumbers.set(key, number);
    [...this.lastNumbers.keys()]
      .slice(0, Math.max(0, this.lastNumbers.size - MAXIMUM_SENDERS))
      .forEach((oldest) => this.lastNumbers.delete(oldest));
    return true;
  }
}
