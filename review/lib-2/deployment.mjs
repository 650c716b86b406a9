/**
 * A small deployment on loopback addresses: the store, targets, daemons and the operator's
 * configuration. Addresses come from a block of 127/8 that is free when the script starts.
 */
import { appendFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import Daemon, { PORTS } from './daemon.mjs';
import Store from './store.mjs';
import Target from './target.mjs';

const STORE_PORT = 8541;
const TARGET_PORT = 8080;
const START_MILLISECONDS = 20_000;

export const sleep = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function findBlock() {
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const block = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;
    const checks = [
      [10, STORE_PORT],
      [11, PORTS.front],
      [11, PORTS.internal],
      [101, TARGET_PORT],
    ];
    const free = await Promise.all(checks.map(([last, port]) => isFree(`${block}.${last}`, port)));
    if (free.every(Boolean)) return block;
  }
  throw new Error('no free block of addresses');
}

/** Writes `record.txt`: one line for each thing that was sent, answered, run or done. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    writeFileSync(path, '');
  }

  add(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.path, `${seconds} ${text}\n`);
  }

  /** A line that is also printed. */
  say(text) {
    this.add(text);
    process.stdout.write(`${text}\n`);
  }
}

export default class Deployment {
  daemons = [];

  targets = [];

  version = 0;

  ids = 0;

  static async create(record, { oneWayMilliseconds = 2, bounds = {} } = {}) {
    const deployment = new Deployment();
    deployment.record = record;
    deployment.bounds = bounds;
    deployment.block = await findBlock();
    deployment.store = new Store(oneWayMilliseconds);
    await deployment.store.start(`${deployment.block}.10`, STORE_PORT);
    return deployment;
  }

  /** Acknowledges a configuration: routes with host, prefix, kind, service and attempts. */
  configure(routes) {
    this.version += 1;
    const services = [...new Set(routes.map(({ service }) => service))];
    const hosts = [...new Set(routes.map(({ host }) => host))];
    this.store.put('keyed.op', 'config', {
      version: this.version,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      listeners: hosts.map((host) => ({
        host,
        rules: routes
          .filter((route) => route.host === host)
          .map(({ prefix, kind, service, attempts = 2, timeoutMilliseconds = 6_000 }) => ({
            name: `r-${prefix.replaceAll('/', '')}`,
            kind,
            aim_ms: 3_000,
            priority: 1,
            match: { path_prefix: prefix },
            action: { service, timeout_ms: timeoutMilliseconds, max_attempts: attempts },
          })),
      })),
      clusters: services.map((name) => ({
        name,
        health_path: '/health',
        max_conns: 330,
        protocol: 'h1',
        tls: false,
      })),
    });
    this.record.add(`operator: configuration ${this.version} acknowledged`);
  }

  nextId() {
    this.ids += 1;
    return `i-${String(this.ids).padStart(4, '0')}`;
  }

  async addTarget(options) {
    const host = `${this.block}.${101 + this.targets.length}`;
    const target = new Target({ store: this.store, host, port: TARGET_PORT, ...options });
    this.targets.push(target);
    options.prepare?.(target);
    await target.start(this.nextId());
    return target;
  }

  /** Starts daemons in the zones given, one each, and waits until all are ready. */
  async startDaemons(zonesOfDaemons, zones) {
    const ips = zonesOfDaemons.map((_, index) => `${this.block}.${11 + index}`);
    this.daemons = zonesOfDaemons.map(
      (zone, index) =>
        new Daemon({
          name: `edge-${zone}-${index + 1}`,
          ip: ips[index],
          zone,
          region: zones[zone],
          zones,
          storeAddress: this.store.address,
          seeds: ips.slice(0, 3),
          bounds: this.bounds,
          logDirectory: process.env.REVIEW_LOGS,
        }),
    );
    this.daemons.forEach((daemon) => daemon.start());
    await Promise.all(this.daemons.map((daemon) => this.awaitReady(daemon)));
    this.record.add(`daemons: ${this.daemons.map(({ name }) => name).join(', ')} are ready`);
  }

  async awaitReady(daemon) {
    const until = performance.now() + START_MILLISECONDS;
    while (performance.now() < until) {
      if (await daemon.isReady()) return;
      await sleep(50);
    }
    throw new Error(`${daemon.name} does not become ready`);
  }

  async close() {
    await Promise.all(this.daemons.map((daemon) => daemon.close()));
    this.targets.filter(({ isRunning }) => isRunning).forEach((target) => target.kill());
    this.store.stop();
  }
}

/** Runs a case: exits with 1 if it finds the rule broken, 0 if not, 2 if it could not run. */
export async function runCase(recordPath, play) {
  const record = new Record(recordPath);
  const hasTrouble = process.env.TROUBLE !== '0';
  record.add(`case: TROUBLE=${hasTrouble ? 1 : 0}`);
  let deployment;
  let status = 2;
  const limit = setTimeout(() => {
    record.say('result: could not run, out of time');
    deployment?.daemons.forEach((daemon) => daemon.signal('SIGKILL'));
    process.exit(2);
  }, 115_000);
  try {
    const create = async (options) => {
      deployment = await Deployment.create(record, options);
      return deployment;
    };
    status = (await play({ record, hasTrouble, create })) ? 1 : 0;
    record.say(`result: ${status === 1 ? 'the rule was broken' : 'the rule held'}`);
  } catch (error) {
    record.say(`result: could not run: ${error.stack}`);
  }
  await deployment?.close();
  clearTimeout(limit);
  process.exit(status);
}
