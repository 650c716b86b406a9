/**
 * Gives the bodies of requests room in memory. A body of a stated length gets all of its room before
 * it is read, so that bodies which have been read in part never wait for each other; a body without
 * one gets room as it grows.
 */
import type { Counters } from '@cactusrun/core';
import type { BodyRoom } from './BodyRoom.js';
import { UNBOUNDED_ROOM } from './BodyRoom.js';
import GrowingRoom from './GrowingRoom.js';
import type MemoryBudget from './MemoryBudget.js';
import { SMALL_BODY_BYTES } from './MemoryBudget.js';

/** What is known of a body before it is read. */
export interface ExpectedBody {
  /** Its length; undefined if it is not stated. */
  readonly statedBytes: number | undefined;
  /** Longest wait for room. */
  readonly waitMilliseconds: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Called when the body, which is being read, must leave its room to an older one. */
  readonly onGiveWay: () => void;
}

export default class BodyRooms {
  /** Bodies without a stated length that are being read, in the order of their arrival. */
  private readonly growing = new Set<GrowingRoom>();

  constructor(
    private readonly memory: MemoryBudget,
    private readonly counters: Counters,
  ) {}

  /** Room for a body, or undefined if there is none in time. Only large bodies wait. */
  public async reserve(expected: ExpectedBody): Promise<BodyRoom | undefined> {
    const { statedBytes } = expected;
    if (statedBytes === undefined) return this.createGrowingRoom(expected.onGiveWay);
    if (statedBytes === 0) return UNBOUNDED_ROOM;
    const isHeld =
      statedBytes <= SMALL_BODY_BYTES
        ? this.memory.tryHold(statedBytes, statedBytes)
        : await this.awaitRoom(statedBytes, expected);
    if (isHeld) return this.createFixedRoom(statedBytes);
    this.counters.add('body_rooms', 'none');
    return undefined;
  }

  private createFixedRoom(bytes: number): BodyRoom {
    let heldBytes = bytes;
    const release = () => {
      if (heldBytes > 0) this.memory.release(heldBytes);
      heldBytes = 0;
    };
    return { ...UNBOUNDED_ROOM, release };
  }

  private createGrowingRoom(onGiveWay: () => void): BodyRoom {
    return new GrowingRoom(this.memory, this.growing, () => {
      this.counters.add('body_rooms', 'gave-way');
      onGiveWay();
    });
  }

  private async awaitRoom(
    bytes: number,
    { waitMilliseconds, signal }: ExpectedBody,
  ): Promise<boolean> {
    if (this.memory.tryHoldInTurn(bytes)) return true;
    const isHeld = await this.memory.awaitRoom(bytes, waitMilliseconds, signal);
    if (isHeld) this.counters.add('body_rooms', 'waited');
    return isHeld;
  }
}
