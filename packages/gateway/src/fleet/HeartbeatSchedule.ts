/**
 * Decides to whom a daemon sends each of its heartbeats. A fixed number goes out in each round, so
 * that the cost of a daemon does not grow with the fleet. Members wait longer for their turn in a
 * larger fleet; each heartbeat states when the next one is due. Only daemons that callers are
 * directed to, or would be next, announce themselves to their whole zone in each round.
 */
import type EntryDirectory from './EntryDirectory.js';
import type FleetMembers from './FleetMembers.js';
import { HEARTBEAT_INTERVAL_MILLISECONDS } from './FleetMembers.js';

/** Members of the own zone, and of other zones, that a daemon reaches in one round. */
const ZONE_RECIPIENTS_PER_ROUND = 12;
const REMOTE_RECIPIENTS_PER_ROUND = 6;
/** Fewest rounds between two heartbeats to a member of another zone: bytes between zones are paid. */
const MINIMUM_REMOTE_ROUNDS = 4;

/** Recipients of the same heartbeat. */
export interface HeartbeatRecipients {
  readonly addresses: readonly string[];
  /** Time until their next heartbeat from this daemon. */
  readonly pauseMilliseconds: number;
  /** Whether the heartbeat includes the unhealthy targets and the rate limits. */
  readonly isFull: boolean;
}

export default class HeartbeatSchedule {
  private wasEntry = false;

  constructor(
    private readonly members: FleetMembers,
    private readonly directory: EntryDirectory,
  ) {}

  /** @param round - counted from 0, one each `HEARTBEAT_INTERVAL_MILLISECONDS` */
  public recipientsIn(round: number): readonly HeartbeatRecipients[] {
    const { members, directory } = this;
    const zone = members.zoneAddresses();
    const near = new Set(zone);
    const isEntry = directory.isEntry();
    const entries = isEntry
      ? directory.entryAddresses().filter((address) => !near.has(address))
      : [];
    const frequent = new Set(entries);
    const others = members
      .liveAddresses()
      .filter((address) => !near.has(address) && !frequent.has(address));
    const hasBecomeEntry = isEntry && !this.wasEntry;
    this.wasEntry = isEntry;
    return [
      directory.isCritical()
        ? { addresses: zone, pauseMilliseconds: HEARTBEAT_INTERVAL_MILLISECONDS, isFull: true }
        : takeTurn(zone, round, ZONE_RECIPIENTS_PER_ROUND, 1),
      {
        addresses: entries,
        pauseMilliseconds: HEARTBEAT_INTERVAL_MILLISECONDS,
        isFull: hasBecomeEntry || round % MINIMUM_REMOTE_ROUNDS === 0,
      },
      takeTurn(others, round, REMOTE_RECIPIENTS_PER_ROUND, MINIMUM_REMOTE_ROUNDS),
    ];
  }
}

/** The addresses whose turn it is when each gets one heartbeat in a cycle of rounds. */
function takeTurn(
  addresses: readonly string[],
  round: number,
  perRound: number,
  minimumRounds: number,
): HeartbeatRecipients {
  const rounds = Math.max(minimumRounds, Math.ceil(addresses.length / perRound));
  return {
    addresses: addresses.filter((_, index) => index % rounds === round % rounds),
    pauseMilliseconds: rounds * HEARTBEAT_INTERVAL_MILLISECONDS,
    isFull: true,
  };
}
