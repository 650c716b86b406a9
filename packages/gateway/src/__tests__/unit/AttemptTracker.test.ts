import { Counters, ManualClock, silentLogger } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import createLostTargets from './createLostTargets.js';
import AttemptTracker from '../../health/AttemptTracker.js';
import EntryDirectory from '../../fleet/EntryDirectory.js';
import FailureRates from '../../health/FailureRates.js';
import FleetMembers from '../../fleet/FleetMembers.js';
import IdleReuse from '../../connections/IdleReuse.js';
import OutstandingRequests from '../../placement/OutstandingRequests.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import RetryBudgetShares from '../../execution/RetryBudgetShares.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import { NOTHING_STATED } from '../../state/TargetStatement.js';
import TargetTable from '../../state/TargetTable.js';
import createPeerDescription from './createPeerDescription.js';
import type { TargetNotices } from './createTargetNotices.js';
import createTargetNotices from './createTargetNotices.js';
import createTargetEntry from './createTargetEntry.js';

const BUDGET = { ratio: 0.2, fixedRetries: 40, windowMilliseconds: 10_000, regions: 1 };

describe('AttemptTracker', () => {
  let clock: ManualClock;
  let targets: TargetTable;
  let tracker: AttemptTracker;
  let notices: TargetNotices;
  let sent: Extract<PeerMessage, { kind: 'calls' }>[];
  let leavingTold: Extract<PeerMessage, { kind: 'leaving-targets' }>[];

  beforeEach(() => {
    clock = new ManualClock();
    sent = [];
    leavingTold = [];
    notices = createTargetNotices(clock);
    targets = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    targets.apply([{ kind: 'present', entry: createTargetEntry('t') }]);
    const members = new FleetMembers(
      () => createPeerDescription('m'),
      clock,
      silentLogger,
      () => {},
    );
    members.applyDescription(createPeerDescription('a'));
    tracker = new AttemptTracker({
      selfName: 'm',
      targets,
      outstanding: new OutstandingRequests(),
      failures: new FailureRates(clock),
      idleReuse: new IdleReuse(clock),
      retryBudgetShares: new RetryBudgetShares(BUDGET, () => 1, clock),
      ...notices,
      lostTargets: createLostTargets(clock, targets),
      directory: new EntryDirectory(members, clock),
      link: {
        send: (_addresses, message) => {
          if (message.kind === 'calls') sent.push(message);
          if (message.kind === 'leaving-targets') leavingTold.push(message);
          return true;
        },
      },
      clock,
      counters: new Counters(),
      logger: silentLogger,
    });
  });

  describe('reports to peers', () => {
    it('of a failure are sent within 2 ms, together with pending reports', async () => {
      tracker.begin(targets.get('t')!, false);
      tracker.end('t', 'failed', 1, NOTHING_STATED);
      await clock.advance(2);
      expect(sent.map(({ reports }) => reports.length)).toEqual([2]);
    });

    it('of good outcomes are batched and sent with the next started attempt', async () => {
      tracker.end('t', 'good', 1, NOTHING_STATED);
      tracker.end('t', 'good', 1, NOTHING_STATED);
      await clock.advance(5);
      expect(sent).toHaveLength(0);
      tracker.begin(targets.get('t')!, false);
      await clock.advance(5);
      expect(sent.map(({ reports }) => reports.length)).toEqual([3]);
    });

    it('are each sent once', async () => {
      Array.from({ length: 20 }).forEach(() => tracker.end('t', 'good', 1, NOTHING_STATED));
      await clock.advance(50);
      tracker.begin(targets.get('t')!, false);
      await clock.advance(50);
      expect(sent.flatMap(({ reports }) => reports)).toHaveLength(21);
    });
  });

  describe('a connection that was refused', () => {
    const probability = () => targets.get('t')!.healthEstimate.unhealthyProbabilityAt(clock.now());

    it('to a peer changes nothing here: the links of the peer may have failed', () => {
      const before = probability();
      tracker.applyReports('a', [{ target: 't', outstanding: 0, outcome: 'unreachable' }]);
      expect(targets.get('t')!.blockedUntil).toBeLessThanOrEqual(clock.now());
      expect(probability()).toBe(before);
    });

    it('to this daemon blocks the target here for a while', () => {
      tracker.recordConnectFailure('t', true);
      expect(targets.get('t')!.blockedUntil).toBe(clock.now() + 1_000);
    });
  });

  describe('the notice of a target', () => {
    const ENTRY = createTargetEntry('t', { bornAt: 5 });

    it('that it is leaving is told to peers once, with the start of its process', () => {
      tracker.recordNotice(ENTRY, { ...NOTHING_STATED, isLeaving: true });
      tracker.recordNotice(ENTRY, { ...NOTHING_STATED, isLeaving: true });
      expect(leavingTold).toMatchObject([{ leavingTargets: [{ target: 't', bornAt: 5 }] }]);
      expect(notices.admission.denialOf(ENTRY)).toEqual({ kind: 'leaving' });
    });

    it('that it asks for a backoff is not told: it concerns this daemon', async () => {
      tracker.recordNotice(ENTRY, { ...NOTHING_STATED, backoffMilliseconds: 2_000 });
      expect(notices.admission.denialOf(ENTRY)).toEqual({ kind: 'backing-off', until: 2_000 });
      await clock.advance(50);
      expect([sent, leavingTold]).toEqual([[], []]);
    });
  });
});
