/** Room in memory for the body of one request. */
export interface BodyRoom {
  /** Takes room for the next piece; false if there is none and the body must not be read further. */
  take(bytes: number): boolean;
  /** The body has arrived: it does not grow, and keeps its room until it is released. */
  complete(): void;
  /** Gives the room back; further calls do nothing. */
  release(): void;
}

/** Room of a body that is empty, or that nothing bounds. */
export const UNBOUNDED_ROOM: BodyRoom = {
  take: () => true,
  complete: () => {},
  release: () => {},
};
