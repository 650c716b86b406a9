import { createRandom } from '@cactusrun/core';
import { describe, expect, it } from 'vitest';
import BodyCollector from '../../connections/BodyCollector.js';

const BODY_BYTES = 200_000;
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

function createBody(): Buffer {
  return Buffer.from(Array.from({ length: BODY_BYTES }, (_, index) => (index * 7) % 251));
}

function cutRandomly(body: Buffer, seed: number, longest: number): readonly Buffer[] {
  const random = createRandom(seed);
  const pieces: Buffer[] = [];
  let start = 0;
  while (start < body.length) {
    const end = start + 1 + Math.floor(random.unit() * longest);
    pieces.push(body.subarray(start, end));
    start = end;
  }
  return pieces;
}

function collect(pieces: readonly Buffer[], expectedBytes: number): BodyCollector {
  const collector = new BodyCollector(expectedBytes);
  pieces.forEach((piece) => collector.add(piece));
  return collector;
}

describe('BodyCollector', () => {
  describe('a body', () => {
    const lengths: Readonly<Record<string, number>> = {
      'without a known length': 0,
      'of the expected length': BODY_BYTES,
      'longer than expected': BODY_BYTES / 3,
      'shorter than expected': BODY_BYTES * 2,
    };
    Object.entries(lengths).forEach(([name, expectedBytes]) => {
      it(`${name} is what its pieces were, in their order`, () => {
        const body = createBody();
        SEEDS.forEach((seed) => {
          const pieces = cutRandomly(body, seed, [3, 300, 70_000][seed % 3] ?? 1);
          const collector = collect(pieces, expectedBytes);
          expect(collector.size).toBe(BODY_BYTES);
          expect(collector.join().equals(body)).toBe(true);
        });
      });
    });

    it('that is empty has no bytes', () => {
      expect(collect([], 0).join()).toHaveLength(0);
    });

    it('of one piece is not copied', () => {
      const piece = Buffer.from('whole');
      expect(collect([piece], piece.length).join().buffer).toBe(piece.buffer);
    });

    it('of the expected length is copied once', () => {
      const collector = collect(cutRandomly(createBody(), 1, 70_000), BODY_BYTES);
      expect(collector.join().buffer).toBe(collector.join().buffer);
    });
  });
});
