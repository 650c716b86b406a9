import { describe, expect, it } from 'vitest';
import OutstandingRequests from '../../placement/OutstandingRequests.js';

describe('OutstandingRequests', () => {
  describe('own and peer requests', () => {
    it('are added up by target', () => {
      const outstanding = new OutstandingRequests();
      outstanding.add('t', 1);
      outstanding.setPeerCount('peer-1', 't', 2);
      outstanding.setPeerCount('peer-2', 't', 1);
      expect(outstanding.countAt('t', 0)).toBe(4);
      outstanding.add('t', -1);
      outstanding.setPeerCount('peer-1', 't', 0);
      expect(outstanding.countAt('t', 0)).toBe(1);
    });

    it('are corrected by the next full list after a lost datagram', () => {
      const outstanding = new OutstandingRequests();
      outstanding.setPeerCount('peer', 't', 3);
      outstanding.replacePeerCounts('peer', { u: 1 });
      expect([outstanding.countAt('t', 0), outstanding.countAt('u', 0)]).toEqual([0, 1]);
    });

    it('are removed with their peer', () => {
      const outstanding = new OutstandingRequests();
      outstanding.setPeerCount('peer', 't', 3);
      outstanding.forgetPeer('peer');
      expect(outstanding.countAt('t', 0)).toBe(0);
    });

    it('never fall below zero', () => {
      const outstanding = new OutstandingRequests();
      outstanding.add('t', -1);
      expect(outstanding.countAt('t', 0)).toBe(0);
    });
  });

  describe('load that a target reports', () => {
    it('adds unattributed requests, which decay over time', () => {
      const outstanding = new OutstandingRequests();
      outstanding.add('t', 1);
      outstanding.recordLoad('t', 5, 0);
      expect(outstanding.countAt('t', 0)).toBe(5);
      expect(outstanding.countAt('t', 500)).toBe(3);
      expect(outstanding.countAt('t', 2_000)).toBe(1);
    });
  });
});
