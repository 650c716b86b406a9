/** Starts a daemon as its own process with the command of the deploy file, and ends it again. */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const root = new URL('../../', import.meta.url).pathname;
export const PORTS = { front: 8548, ready: 8542, control: 8544, directory: 8546, internal: 7540 };

/** The command that `deploy/system.toml` names for the daemon. */
function deployCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error('deploy/system.toml names no command');
  return run.split(' ');
}

/** Processes that run and folders that they use, which end with this one whatever ends it. */
const running = new Set();
const directories = new Set();
process.on('exit', () => {
  running.forEach((child) => child.kill('SIGKILL'));
  directories.forEach((directory) => rmSync(directory, { recursive: true, force: true }));
});
['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((name) => process.on(name, () => process.exit(2)));

export default class Daemon {
  constructor({ name, ip, zone, region, zones, storeAddress, seeds, bounds = {}, logDirectory }) {
    this.name = name;
    this.ip = ip;
    this.zone = zone;
    this.bootstrap = true;
    this.fields = { region, zones, storeAddress, seeds, bounds };
    this.directory = mkdtempSync(join(tmpdir(), 'review-daemon-'));
    directories.add(this.directory);
    this.log = createWriteStream(join(logDirectory ?? this.directory, `${name}.log`), {
      flags: 'a',
    });
  }

  get front() {
    return `${this.ip}:${PORTS.front}`;
  }

  writeSettings() {
    const { region, zones, storeAddress, seeds, bounds } = this.fields;
    const fields = {
      node: this.name,
      role: 'daemon',
      machine_class: 'edge',
      serves: 'edge,control_plane,registry',
      ip: this.ip,
      zone: this.zone,
      region,
      ...Object.fromEntries(Object.entries(zones).map(([zone, its]) => [`zones.${zone}`, its])),
      'listen.front': this.front,
      'listen.ready': `${this.ip}:${PORTS.ready}`,
      'listen.control': `${this.ip}:${PORTS.control}`,
      'listen.directory': `${this.ip}:${PORTS.directory}`,
      internal_ports: `${PORTS.internal},${PORTS.internal + 15}`,
      seeds: seeds.map((ip) => `${ip}:${PORTS.control}`).join(','),
      bootstrap: this.bootstrap,
      'limits.cpu_share': 0.54,
      'limits.cores': 1,
      'limits.memory_mb': 350,
      'limits.max_fds': 4100,
      'limits.link_mbps': 1000,
      discovery: 'platform',
      entry: 'registry',
      heartbeat_ms: 1500,
      contracts: 'base,drain,config,cost,retry,recover,health,platform',
      'bounds.seed_lag_s': 3,
      'bounds.reuse_after_s': 2,
      'bounds.stability_window_ms': 4000,
      'bounds.ack_ms': 4000,
      'bounds.catch_up_s': 4,
      'bounds.drain_ms': 2500,
      'bounds.grace_s': 6,
      'bounds.loss_slack_ms': 200,
      'bounds.config_apply_ms': 2500,
      'bounds.revert_slack_ms': 250,
      'bounds.max_stretch_ms': 5000,
      'bounds.retry_budget_ratio': 0.2,
      'bounds.budget_window_s': 10,
      'bounds.retry_slack': 58,
      'bounds.recover_s': 15,
      'bounds.ttl_max_s': 5,
      'bounds.probes_per_s': 3,
      'bounds.floor_share': 0.7,
      'platform.address': storeAddress,
      'platform.form': 'log',
      'platform.writes_per_s': 400,
      'platform.reads_per_s': 2000,
      'platform.parts': 12,
      ...bounds,
    };
    const path = join(this.directory, 'node.conf');
    const lines = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
    writeFileSync(path, `${lines.join('\n')}\n`);
    return path;
  }

  start() {
    const [program, ...words] = deployCommand();
    this.startedAt = performance.now();
    this.child = spawn(program, words, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: this.directory, CACTUSRUN_CONFIG: this.writeSettings() },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { child } = this;
    running.add(child);
    child.once('exit', () => running.delete(child));
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    this.bootstrap = false;
  }

  signal(name) {
    if (this.child.exitCode === null && this.child.signalCode === null) this.child.kill(name);
  }

  /** Stops it as the platform does: SIGTERM, and SIGKILL after the grace time. */
  async terminate(graceMilliseconds = 6_000) {
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), graceMilliseconds);
    const end = await this.exited;
    clearTimeout(timer);
    return end;
  }

  async close() {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    if (this.child !== undefined) await this.exited;
    this.log.end();
  }

  /** Whether the readiness check answers 200. */
  isReady() {
    return new Promise((resolve) => {
      const url = `http://${this.ip}:${PORTS.ready}/cactusrun/ready`;
      const request = get(url, { agent: false, timeout: 1_000 }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('error', () => resolve(false));
      request.on('timeout', () => request.destroy());
    });
  }
}
