/**
 * Guards against a process that ends for lack of memory, and drops all of its requests, because many
 * callers read large answers slowly at the same time.
 */
import * as fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import HeldAnswers from '../../callers/HeldAnswers.js';

const LIMIT_BYTES = 100;

describe('HeldAnswers', () => {
  let held: HeldAnswers;

  let cuts: readonly string[];

  beforeEach(() => {
    held = new HeldAnswers(LIMIT_BYTES);
    cuts = [];
  });

  function hold(name: string, bytes: number): () => void {
    return held.hold({
      bytes,
      cut: () => {
        cuts = [...cuts, name];
      },
    });
  }

  it('cuts none within the limit', () => {
    hold('a', 60);
    hold('b', 40);
    expect([cuts, held.heldBytes]).toEqual([[], 100]);
  });

  it('cuts the answer that was held longest beyond it, and no more than needed', () => {
    hold('a', 60);
    hold('b', 40);
    hold('c', 20);
    expect([cuts, held.heldBytes]).toEqual([['a'], 60]);
  });

  it('cuts several where one does not free enough', () => {
    hold('a', 10);
    hold('b', 50);
    hold('c', 40);
    hold('d', 60);
    expect([cuts, held.heldBytes]).toEqual([['a', 'b'], 100]);
  });

  it('spares those that their callers have taken', () => {
    hold('a', 60)();
    hold('b', 60);
    expect([cuts, held.heldBytes]).toEqual([[], 60]);
  });

  it('does not cut an answer for its own size', () => {
    hold('a', 60);
    hold('b', 150);
    expect([cuts, held.heldBytes]).toEqual([['a'], 150]);
  });

  it('counts an answer once, though it is released when it was cut before', () => {
    const release = hold('a', 60);
    hold('b', 60);
    release();
    release();
    expect(held.heldBytes).toBe(60);
  });

  it('never holds more than the limit and the newest answer', () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 200 }), { maxLength: 100 }), (sizes) => {
        const answers = new HeldAnswers(LIMIT_BYTES);
        sizes.forEach((bytes) => {
          answers.hold({ bytes, cut: () => {} });
          expect(answers.heldBytes).toBeLessThanOrEqual(Math.max(LIMIT_BYTES, bytes));
        });
      }),
    );
  });
});
