/**
 * Guards against an overload in which urgent requests are served less often than others, one
 * workspace takes the room of the rest, or refused callers return together and are refused again.
 */
import { beforeAll, describe, expect, it } from 'vitest';
import type { PlayedRequest, Stream } from './OverloadPlay.js';
import OverloadPlay, { servedShare } from './OverloadPlay.js';

const SLOTS = 40;
const CALM_MILLISECONDS = 20_000;
/** Callers see an overload this long to its end only if they have much time. */
const LONG_MILLISECONDS = 15_000;
const SHORT_MILLISECONDS = 6_000;
const AFTERWARDS_MILLISECONDS = 15_000;
/** Returns that are told before the end of the overload still belong to it for this long. */
const SETTLING_MILLISECONDS = 500;
/** Load outside the overload, relative to the room. */
const CALM_LOAD = 0.5;

/** What is asked at a time: one value during the overload, another one before and after it. */
type Asked = (during: number, otherwise: number) => (now: number) => number;

function askedIn(overloadMilliseconds: number): Asked {
  const end = CALM_MILLISECONDS + overloadMilliseconds;
  return (during, otherwise) => (now) =>
    now >= CALM_MILLISECONDS && now < end ? during : otherwise;
}

function duringOverload(requests: readonly PlayedRequest[]): readonly PlayedRequest[] {
  const end = CALM_MILLISECONDS + LONG_MILLISECONDS;
  return requests.filter(({ bornAt }) => bornAt >= CALM_MILLISECONDS && bornAt < end);
}

const URGENT = {
  workspace: undefined,
  priority: 0,
  serviceMilliseconds: 180,
  objectiveMilliseconds: 800,
  deadlineMilliseconds: 6_000,
};
const SLOW = {
  workspace: undefined,
  priority: 1,
  serviceMilliseconds: 1_000,
  objectiveMilliseconds: 4_000,
  deadlineMilliseconds: 20_000,
};

/** Two kinds whose work is `factor` times the room during the overload. */
function createKinds(asked: Asked, factor: number, urgentShare: number): readonly Stream[] {
  const stream = (kind: typeof URGENT, work: number): Stream => {
    const perRoom = (SLOTS * work * 1_000) / kind.serviceMilliseconds;
    return { ...kind, perSecond: asked(factor * perRoom, CALM_LOAD * perRoom) };
  };
  return [stream(URGENT, urgentShare), stream(SLOW, 1 - urgentShare)];
}

/** Workspaces of different sizes, one of which asks seven times its usual during the overload. */
function createWorkspaces(asked: Asked, factor: number): readonly Stream[] {
  const sizes = Array.from({ length: 30 }, (_, index) => (index < 3 ? 6 : 1));
  const usual = 0.75 * SLOTS * (1_000 / 400);
  const total = sizes.reduce((sum, size) => sum + size, 0);
  const hotUsual = (factor * SLOTS * (1_000 / 400) - usual) / 6;
  const stream = { ...URGENT, serviceMilliseconds: 400, objectiveMilliseconds: 2_000 };
  return [
    {
      ...stream,
      workspace: 'hot',
      deadlineMilliseconds: 10_000,
      perSecond: asked(7 * hotUsual, hotUsual),
    },
    ...sizes.map((size, index) => ({
      ...stream,
      workspace: `w${index}`,
      deadlineMilliseconds: 10_000,
      perSecond: () => ((usual - hotUsual) * size) / total,
    })),
  ];
}

function shareByWorkspace(requests: readonly PlayedRequest[]): readonly number[] {
  const names = new Set(requests.map(({ stream }) => stream.workspace));
  names.delete('hot');
  return [...names]
    .map((name) => servedShare(requests.filter(({ stream }) => stream.workspace === name)))
    .sort((left, right) => left - right);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function play(
  streams: readonly Stream[],
  overloadMilliseconds: number,
): Promise<readonly PlayedRequest[]> {
  return new OverloadPlay({ slots: SLOTS, daemons: 4, seed: 11 }, streams).play(
    CALM_MILLISECONDS + overloadMilliseconds + AFTERWARDS_MILLISECONDS,
  );
}

function shareOfPriority(requests: readonly PlayedRequest[], priority: number): number {
  return servedShare(requests.filter(({ stream }) => stream.priority === priority));
}

describe('admission under overload', () => {
  [1.3, 1.6, 2].forEach((factor) => {
    [0.2, 0.6].forEach((urgentShare) => {
      describe(`at ${factor} times the room, ${urgentShare} of the work urgent`, () => {
        let requests: readonly PlayedRequest[];

        beforeAll(async () => {
          const kinds = createKinds(askedIn(LONG_MILLISECONDS), factor, urgentShare);
          requests = await play(kinds, LONG_MILLISECONDS);
        });

        it('serves urgent requests at least as often, and does not shut out the others', () => {
          const urgent = shareOfPriority(duringOverload(requests), 0);
          const slow = shareOfPriority(duringOverload(requests), 1);
          expect(urgent).toBeGreaterThanOrEqual(slow);
          expect(slow).toBeGreaterThan(0.25 * servedShare(requests));
        });

        it('refuses and delays nothing beside free slots', () => {
          const refusals = requests.flatMap(({ refusals: all }) => all);
          expect(refusals.length).toBeGreaterThan(0);
          expect(refusals.filter(({ hadFreeSlots }) => hadFreeSlots)).toEqual([]);
          const calm = requests.filter(({ bornAt }) => bornAt < CALM_MILLISECONDS - 1_000);
          expect(Math.max(...calm.map(({ waited }) => waited))).toBe(0);
        });

        it('refuses most of what it cannot serve without a wait', () => {
          const refusals = requests.flatMap(({ refusals: all }) => all);
          const atOnce = refusals.filter(({ waited }) => waited === 0);
          expect(atOnce.length / refusals.length).toBeGreaterThan(0.7);
        });
      });

      it(`serves returns after ${factor} times the room, ${urgentShare} urgent`, async () => {
        const kinds = createKinds(askedIn(SHORT_MILLISECONDS), factor, urgentShare);
        const end = CALM_MILLISECONDS + SHORT_MILLISECONDS + SETTLING_MILLISECONDS;
        const returned = (await play(kinds, SHORT_MILLISECONDS)).filter(({ returns }) =>
          returns.some((at) => at > end),
        );
        expect(returned.length).toBeGreaterThan(10);
        expect(servedShare(returned)).toBeGreaterThanOrEqual(0.9);
      });
    });

    it(`serves workspaces alike at ${factor} times the room, one of them hot`, async () => {
      const workspaces = createWorkspaces(askedIn(LONG_MILLISECONDS), factor);
      const overload = duringOverload(await play(workspaces, LONG_MILLISECONDS));
      const shares = shareByWorkspace(overload);
      expect(mean(shares.slice(0, 3))).toBeGreaterThanOrEqual(0.9 * mean(shares));
      const hot = servedShare(overload.filter(({ stream }) => stream.workspace === 'hot'));
      expect(hot).toBeLessThan(mean(shares));
    });
  });
});
