/**
 * Stand-in for the platform and the operator: writes the settings of each daemon, starts the daemons
 * with the `run` command of the deploy file, and ends all of them at the end.
 */
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import findPorts from './ports.mjs';
import Store from './Store.mjs';
import Target from './Target.mjs';

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '../..');
const READY_MILLISECONDS = 20_000;

export default class Platform {
  /** @param bounds - lines of the settings that are alike on all hosts, by name */
  constructor(record, bounds) {
    this.record = record;
    this.bounds = bounds;
    this.folder = mkdtempSync(join(tmpdir(), 'cactusrun-review-'));
    this.store = new Store();
    this.daemons = [];
    this.targets = [];
    this.taken = new Set();
    this.version = 0;
    // The last two numbers of the addresses differ between runs side by side.
    this.network = `127.${20 + (process.pid % 200)}`;
    this.endAll = () => this.daemons.forEach(({ process: child }) => child?.kill('SIGKILL'));
    process.on('exit', this.endAll);
    ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => process.exit(2)));
  }

  /** @param hosts - name, zone and region of each host */
  async start(hosts) {
    const placed = hosts.map((host, index) => ({ ...host, ip: `${this.network}.1.${index + 1}` }));
    const addresses = placed.map(({ ip }) => ip);
    const ports = {
      front: await findPorts(addresses, 1, this.taken),
      ready: await findPorts(addresses, 1, this.taken),
      control: await findPorts(addresses, 1, this.taken),
      directory: await findPorts(addresses, 1, this.taken),
      internal: await findPorts(addresses, 16, this.taken),
    };
    const storeHost = `${this.network}.0.1`;
    await this.store.start(storeHost, await findPorts([storeHost], 1, this.taken));
    this.daemons = placed.map((host) => this.describe(host, placed, ports));
    this.daemons.forEach((daemon) => this.spawn(daemon));
  }

  describe({ name, zone, region, ip }, hosts, ports) {
    const zones = hosts.map((host) => `zones.${host.zone}=${host.region}`);
    const lines = [
      `node=${name}`,
      'role=daemon',
      'machine_class=edge',
      'serves=edge,registry,control_plane',
      `ip=${ip}`,
      `zone=${zone}`,
      `region=${region}`,
      ...new Set(zones),
      `listen.front=${ip}:${ports.front}`,
      `listen.ready=${ip}:${ports.ready}`,
      `listen.control=${ip}:${ports.control}`,
      `listen.directory=${ip}:${ports.directory}`,
      `internal_ports=${ports.internal},${ports.internal + 15}`,
      `seeds=${hosts
        .slice(0, 3)
        .map((host) => `${host.ip}:${ports.control}`)
        .join(',')}`,
      'bootstrap=true',
      'loss_counts=false',
      'discovery=platform',
      'entry=registry',
      `platform.address=${this.store.address}`,
      'platform.form=log',
      ...Object.entries(this.bounds).map(([key, value]) => `${key}=${value}`),
    ];
    const settings = join(this.folder, `${name}.conf`);
    mkdirSync(this.folder, { recursive: true });
    writeFileSync(settings, `${lines.join('\n')}\n`);
    return {
      name,
      zone,
      region,
      settings,
      front: `${ip}:${ports.front}`,
      ready: `${ip}:${ports.ready}`,
      directory: `${ip}:${ports.directory}`,
      starts: 0,
    };
  }

  /** Starts the process of a host. */
  spawn(daemon) {
    const [program, ...words] = readRunCommand();
    const environment = { PATH: process.env.PATH, HOME: process.env.HOME ?? '/' };
    daemon.starts += 1;
    daemon.process = spawn(program, words, {
      cwd: REPOSITORY,
      env: { ...environment, CACTUSRUN_CONFIG: daemon.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, `${daemon.name}.log`), { flags: 'a' });
    daemon.process.stdout.pipe(log);
    daemon.process.stderr.pipe(log);
    const { pid } = daemon.process;
    this.record.add(`platform starts ${daemon.name}, process ${pid}`);
    daemon.process.once('exit', (status, signal) => {
      this.record.add(`platform sees the end of ${daemon.name}: ${signal ?? `status ${status}`}`);
    });
  }

  signal(daemon, signal) {
    this.record.say(`platform sends ${signal} to ${daemon.name}`);
    daemon.process.kill(signal);
  }

  /** Starts a target and registers it. */
  async addTarget({ id, service, zone, slots }) {
    const host = `${this.network}.2.${this.targets.length + 1}`;
    const target = new Target({ id, service, zone, slots, record: this.record });
    await target.start(host, await findPorts([host], 1, this.taken));
    this.targets.push(target);
    this.register(target);
    return target;
  }

  register(target, state) {
    this.store.put('keyed.servers', target.id, target.entry(state));
  }

  /** The target leaves: its entry is removed from the store, and it goes on serving. */
  unregister(target) {
    Object.assign(target, { isLeaving: true });
    this.record.say(`store drops the entry of target ${target.id}`);
    this.store.put('keyed.servers', target.id, undefined);
  }

  /** The operator writes a configuration. */
  configure({ limits, listeners, tenants, clusters }) {
    this.version += 3;
    this.store.put('keyed.op', 'config', {
      version: this.version,
      limits,
      listeners,
      ...(tenants === undefined ? {} : { tenants }),
      clusters,
    });
    this.record.add(`operator writes configuration ${this.version}`);
  }

  /** Waits until all daemons are ready and the directory names them. */
  async whenReady() {
    const endAt = performance.now() + READY_MILLISECONDS;
    for (;;) {
      const answers = await Promise.all(this.daemons.map((daemon) => this.isReady(daemon)));
      if (answers.every(Boolean)) return;
      if (performance.now() > endAt) throw new Error('the daemons are not ready');
      await sleep(200);
    }
  }

  async isReady({ ready, directory, zone, region }) {
    const state = await fetchText(`http://${ready}/cactusrun/ready`);
    if (state?.status !== 200) return false;
    const answer = await fetchText(
      `http://${directory}/cactusrun/resolve?name=any&region=${region}&zone=${zone}`,
    );
    if (answer?.status !== 200) return false;
    const inRegion = this.daemons.filter((daemon) => daemon.region === region);
    return JSON.parse(answer.text).addresses.length >= Math.min(2, inRegion.length);
  }

  /** Asks a daemon where clients connect. */
  async resolve({ directory, zone, region }) {
    const url = `http://${directory}/cactusrun/resolve?name=any&region=${region}&zone=${zone}`;
    const answer = await fetchText(url);
    return answer?.status === 200 ? JSON.parse(answer.text) : undefined;
  }

  stop() {
    this.endAll();
    this.targets.forEach((target) => target.stop());
    this.store.stop();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.folder}\n`);
  }
}

/** The words of `run` of the role in the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export function sleep(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function fetchText(url) {
  return new Promise((resolve) => {
    const request = get(url, { agent: false, timeout: 1_000 }, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part) => {
        text += part;
      });
      response.on('end', () => resolve({ status: response.statusCode, text }));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(undefined));
  });
}
