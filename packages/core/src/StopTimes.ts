/** How the grace time of a stop is divided: the time from its signal to the end of the process. */

/** Share of the grace time during which requests are still passed on; the rest is for their work. */
const SERVING_SHARE = 0.4;
/** Time reserved at the end of the grace time for the process to exit; less of a short one. */
const EXIT_RESERVE_MILLISECONDS = 800;
const MAXIMUM_EXIT_RESERVE_SHARE = 0.2;

/** Durations of a graceful shutdown, counted from the signal. */
export interface StopTimes {
  /** New connections and requests are still accepted for this long. */
  readonly servingMilliseconds: number;
  /** Requests that still run are cut off after this long. */
  readonly totalMilliseconds: number;
}

/** Divides a grace time in milliseconds. */
export function divideGraceTime(graceMilliseconds: number): StopTimes {
  const exitReserve = Math.min(
    EXIT_RESERVE_MILLISECONDS,
    graceMilliseconds * MAXIMUM_EXIT_RESERVE_SHARE,
  );
  return {
    servingMilliseconds: graceMilliseconds * SERVING_SHARE,
    totalMilliseconds: graceMilliseconds - exitReserve,
  };
}
