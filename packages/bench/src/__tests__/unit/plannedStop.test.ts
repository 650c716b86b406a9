/**
 * Guards against a stop that lasts as long as requests come: it waited up to 30 s whatever grace time
 * there was, passed requests on all the while, and was killed with them.
 */
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Daemon } from '@cactusrun/daemon';
import { systemClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import Caller from '../../Caller.js';
import { DEPLOYMENTS } from '../../Deployment.js';
import Fleet from '../../Fleet.js';
import publishContracts from '../../publishContracts.js';
import ProcessFleet from '../faults/ProcessFleet.js';

const GRACE_MILLISECONDS = 2_000;
/** Longer than the grace time, and shorter than the deadline of orders. */
const WORK_MILLISECONDS = 6_000;
/** After the serving time, and before the end. */
const LATE_MILLISECONDS = 1_200;

describe('A planned stop of a daemon whose targets work longer than its grace time', () => {
  const deployment = DEPLOYMENTS.kreupelhout;
  let fleet: Fleet;
  let daemon: Daemon;
  let caller: Caller;
  let agent: Agent;

  beforeEach(async () => {
    fleet = new Fleet({
      deployment,
      daemons: 2,
      seed: 3,
      hasLink: false,
      workMilliseconds: WORK_MILLISECONDS,
      graceMilliseconds: GRACE_MILLISECONDS,
    });
    await fleet.start();
    await publishContracts(fleet, deployment.name, systemClock);
    daemon = fleet.daemons[0]!;
    agent = new Agent({ keepAlive: true, maxSockets: 1 });
    caller = new Caller([daemon.host.callerAddress], 'west-a', systemClock);
  });

  afterEach(async () => {
    agent.destroy();
    await caller.close();
    await fleet.stop();
  });

  /** Sends an order on a connection that stays open afterwards, and returns the head of its answer. */
  function sendKept(ticket: string): Promise<IncomingMessage> {
    const [host, port] = daemon.host.callerAddress.split(':');
    const { path } = deployment.order;
    const headers = { 'cactusrun-ticket': ticket };
    return new Promise((resolve, reject) => {
      const sent = request({ agent, host, port, path, method: 'POST', headers }, (response) => {
        response.resume();
        response.once('end', () => resolve(response));
      });
      sent.once('error', reject);
      sent.end('{}');
    });
  }

  it('ends in time, refuses what is late, and tells the caller of what is given up', async () => {
    const { ticket = '' } = await caller.requestTicket(deployment.order.service);
    expect((await sendKept('none')).statusCode).toBe(400);
    const address = daemon.host.callerAddress;
    const early = caller.send({ ...deployment.order, method: 'POST', address });
    const sum = (count: (name: string) => number) =>
      [...fleet.upstreams.keys()].reduce((total, name) => total + count(name), 0);
    const runs = () => sum((name) => fleet.upstreams.get(name)!.runs.length);
    await vi.waitFor(() => expect(runs()).toBe(1), { timeout: 10_000 });
    const startedAt = systemClock.now();
    const stopped = daemon.stop();
    await systemClock.sleep(LATE_MILLISECONDS);
    const late = await sendKept(ticket);
    expect(late.headers).toMatchObject({
      'cactusrun-outcome': 'not-run',
      'cactusrun-reason': 'stopping',
      connection: 'close',
    });
    expect(await early).toMatchObject({ outcome: 'unknown', reason: 'stopped' });
    await stopped;
    expect(systemClock.now() - startedAt).toBeLessThan(GRACE_MILLISECONDS);
    expect(runs()).toBe(1);
  });
});

describe('A daemon process that is asked to leave again while it leaves', () => {
  const deployment = DEPLOYMENTS.kreupelhout;
  const SIGNAL_PAUSE_MILLISECONDS = 150;
  let fleet: ProcessFleet;

  beforeEach(async () => {
    fleet = new ProcessFleet(deployment, 2, 3, 700);
    await fleet.start();
  }, 30_000);

  afterEach(() => fleet.stop());

  it.each(['SIGTERM', 'SIGINT'] as const)('by %s still answers its requests', async (signal) => {
    const address = fleet.daemons[0]!.callers;
    const caller = new Caller([address], 'west-a', systemClock);
    const answer = caller.send({ ...deployment.lookup, method: 'GET', address });
    await systemClock.sleep(SIGNAL_PAUSE_MILLISECONDS);
    fleet.signal(0, signal);
    await systemClock.sleep(SIGNAL_PAUSE_MILLISECONDS);
    fleet.signal(0, signal);
    expect(await answer).toMatchObject({ outcome: 'answered' });
    await caller.close();
  });
});
