/**
 * Guards against a request that waits or is refused beside a free slot, that is refused while a less
 * urgent one is served, or that waits although it cannot be served in time.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import type { AdmissionQuery } from '../../admission/AdmissionQuery.js';
import type { Room } from '../../admission/Room.js';
import ServiceAdmission from '../../admission/ServiceAdmission.js';
import createAdmissionQuery, { FULL_ROOM } from './createAdmissionQuery.js';

describe('ServiceAdmission', () => {
  let admission: ServiceAdmission;

  beforeEach(() => {
    admission = new ServiceAdmission();
  });

  function add(id: string, query: Partial<AdmissionQuery> = {}, now = 0): void {
    admission.add(createAdmissionQuery({ id, ...query }), now);
  }

  function decide(room: Partial<Room>, now = 0): readonly string[] {
    return admission
      .decide({ ...FULL_ROOM, ...room }, now)
      .map((decision) => `${decision.request.query.id} ${decision.kind}`);
  }

  describe('with room', () => {
    it('admits as many as there are free slots, however full the other targets are', () => {
      ['a', 'b', 'c'].forEach((id) => add(id));
      expect(decide({ freeSlots: 2 })).toEqual(['a admitted', 'b admitted']);
      expect(admission.size).toBe(1);
    });

    it('admits for a free slot of another region, which the request must use', () => {
      add('a');
      const [decision] = admission.decide({ ...FULL_ROOM, remoteFreeSlots: 1 }, 0);
      expect(decision).toMatchObject({ kind: 'admitted', needsFreeSlot: true });
    });

    it('admits everything where it must not act', () => {
      ['a', 'b', 'c'].forEach((id) => add(id));
      expect(decide({ isOpen: true })).toHaveLength(3);
    });

    it('admits one request of a daemon that has none at the targets', () => {
      ['a', 'b'].forEach((id) => add(id));
      expect(decide({ ownOutstanding: 0 })).toContain('a admitted');
      expect(admission.size).toBeLessThan(2);
    });
  });

  describe('priority', () => {
    it('comes before arrival', () => {
      add('slow', { priority: 1 });
      add('urgent', { priority: 0 });
      expect(decide({ freeSlots: 1 })).toEqual(['urgent admitted']);
    });

    it('sends urgent requests at once where others wait', () => {
      add('slow', { priority: 1 });
      add('urgent', { priority: 0 });
      expect(decide({ outstanding: 14 })).toEqual(['urgent admitted']);
      expect(admission.size).toBe(1);
    });

    it('keeps an urgent request waiting rather than refuse it while a less urgent one waits', () => {
      add('slow', { priority: 1, objectiveMilliseconds: 8_000, deadline: 60_000 });
      add('urgent', { priority: 0, objectiveMilliseconds: 250 });
      expect(decide({ ownOutstanding: 1 })).toEqual([]);
    });

    it('leaves a small share to the least urgent', () => {
      const ids = Array.from({ length: 200 }, (_, index) => index);
      const admitted = ids.flatMap((index) => {
        add('urgent', { priority: 0 }, index * 20);
        add('slow', { priority: 1, deadline: 60_000 }, index * 20);
        return decide({ freeSlots: 1 }, index * 20);
      });
      const slow = admitted.filter((text) => text === 'slow admitted').length;
      expect(slow).toBeGreaterThan(10);
      expect(slow).toBeLessThan(50);
    });
  });

  describe('a request that cannot be served in time', () => {
    it('is refused on arrival, without a wait', () => {
      Array.from({ length: 80 }, (_, index) => add(`a${index}`));
      const refused = decide({});
      expect(refused.every((text) => text.endsWith('refused'))).toBe(true);
      expect(refused.length).toBeGreaterThan(0);
      expect(admission.size).toBeGreaterThan(0);
      add('next');
      expect(decide({})).toEqual(['next refused']);
    });

    it('is refused on arrival when its caller has too little time left', () => {
      add('a', { deadline: 300 });
      expect(decide({})).toEqual(['a refused']);
    });

    it('is refused once its answer would be late, also if nothing is heard', () => {
      add('a');
      expect(decide({})).toEqual([]);
      expect(decide({}, 1_700)).toEqual([]);
      expect(decide({}, 1_900)).toEqual(['a refused']);
    });
  });

  describe('a request that waits', () => {
    it('is sent at a fullness at which new ones are not: what is known may be stale', () => {
      add('a');
      expect(decide({ outstanding: 14 })).toEqual([]);
      expect(decide({ outstanding: 14 }, 1_700)).toEqual(['a admitted']);
    });

    it('is forgotten when its caller leaves', () => {
      const request = admission.add(createAdmissionQuery(), 0);
      decide({});
      admission.cancel(request, 10);
      expect(decide({ freeSlots: 1 }, 20)).toEqual([]);
    });
  });

  describe('workspaces', () => {
    it('are served in turn, however many requests one of them has', () => {
      Array.from({ length: 4 }, (_, index) => add(`hot${index}`, { workspace: 'hot' }));
      add('a', { workspace: 'a' });
      add('b', { workspace: 'b' });
      expect(decide({ freeSlots: 3 })).toEqual(['hot0 admitted', 'a admitted', 'b admitted']);
    });

    it('do not matter without any: requests are served as they arrive', () => {
      ['a', 'b', 'c'].forEach((id) => add(id));
      expect(decide({ freeSlots: 3 })).toEqual(['a admitted', 'b admitted', 'c admitted']);
    });
  });
});
