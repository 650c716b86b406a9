/**
 * Decides whether a request that waits for its first target is sent to a second one. A hedge must not
 * add load where there is no room for it, and must be able to help.
 */
import type { Pick, PickResult } from '../placement/TargetPick.js';

/** Share of a service's slots from which it counts as short of room. */
const SHORT_OF_ROOM_SHARE = 0.75;

/**
 * Why a slow request is not hedged. `links-in-doubt`: no target was heard since the request was sent,
 * so that this daemon's own links may have failed, and a second attempt would be lost as well.
 * `no-retry-left`: the attempts of the route or the retry budget of the service are used up.
 */
export type HedgeDenial =
  'share-spent' | 'links-in-doubt' | 'no-target' | 'short-of-room' | 'too-late' | 'no-retry-left';

/** What is known when a request turns out to be slow; what is costly to know is asked last. */
export interface HedgeSituation {
  /** Whether the share of hedged requests of this daemon has room for one. */
  readonly isShareAvailable: boolean;
  /** Whether any target was heard since the first attempt began. */
  readonly areLinksSound: boolean;
  /** Time until the caller needs its answer. */
  readonly remainingMilliseconds: number;
  /** Median time from sending to an answer on this route. */
  readonly medianMilliseconds: () => number;
  /** Share of the slots of the service's healthy targets that are taken, from 0 to 1. */
  readonly slotsTaken: () => number;
  /** Chooses a target that has not received the request. */
  readonly pick: () => PickResult;
}

export type HedgeDecision =
  | { readonly kind: 'hedge'; readonly pick: Pick }
  | { readonly kind: 'wait'; readonly reason: HedgeDenial };

export default function decideHedge(situation: HedgeSituation): HedgeDecision {
  const { remainingMilliseconds } = situation;
  if (!situation.isShareAvailable) return wait('share-spent');
  if (!situation.areLinksSound) return wait('links-in-doubt');
  if (remainingMilliseconds <= situation.medianMilliseconds()) return wait('too-late');
  if (situation.slotsTaken() >= SHORT_OF_ROOM_SHARE) return wait('short-of-room');
  const picked = situation.pick();
  if (picked.kind === 'full') return wait('too-late');
  if (picked.kind !== 'picked') return wait('no-target');
  const { pick } = picked;
  if (pick.requestsThere >= pick.target.entry.slots) return wait('short-of-room');
  const isTooLate = remainingMilliseconds <= pick.expectedMilliseconds;
  return isTooLate ? wait('too-late') : { kind: 'hedge', pick };
}

function wait(reason: HedgeDenial): HedgeDecision {
  return { kind: 'wait', reason };
}
