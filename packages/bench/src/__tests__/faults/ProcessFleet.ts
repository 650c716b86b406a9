/**
 * A fleet of daemon processes, with the stand-ins in the test process: for tests with signals and
 * real time. Each daemon reaches the others through a link stand-in.
 */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { OperatorClient } from '@cactusrun/command-line';
import type { Random, Stop } from '@cactusrun/core';
import { createRandom, inSequence, mergeStops, systemClock } from '@cactusrun/core';
import { StandInLink, StandInPlatform, StandInUpstream } from '@cactusrun/stand-ins';
import type { Deployment } from '../../Deployment.js';
import { parseTargets, readContracts } from '../../Deployment.js';
import { fleetSettings, hostAddress, linkAddress } from '../../Fleet.js';

const PROGRAM = fileURLToPath(new URL('../../../../daemon/bin/cactusrund.mjs', import.meta.url));
const PLATFORM_ADDRESS = '127.0.0.10:7400';
const READY_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 50;
const RETENTION_MILLISECONDS = 3_600_000;

export interface DaemonProcess {
  readonly index: number;
  readonly callers: string;
  readonly operators: string;
  process: ChildProcess;
  isPaused: boolean;
}

export default class ProcessFleet {
  public readonly daemons: DaemonProcess[] = [];

  public readonly upstreams = new Map<string, StandInUpstream>();

  public readonly links: StandInLink[] = [];

  public readonly random: Random;

  public readonly platform = new StandInPlatform({
    address: PLATFORM_ADDRESS,
    clock: systemClock,
    retentionMilliseconds: RETENTION_MILLISECONDS,
    appendsPerSecond: 300,
  });

  private readonly stops: Stop[] = [];

  private folder = '';

  constructor(
    private readonly deployment: Deployment,
    private readonly count: number,
    seed: number,
    private readonly workMilliseconds: number,
    /** Daemons reach one another directly, without link stand-ins. */
    private readonly isDirect = false,
  ) {
    this.random = createRandom(seed);
  }

  public async start(): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'cactusrun-'));
    this.stops.push(await this.platform.start());
    const script = await readContracts(this.deployment.name);
    await inSequence(parseTargets(script), async (target) => {
      const upstream = new StandInUpstream({
        ...target,
        workMilliseconds: this.workMilliseconds,
        coldMilliseconds: 0,
        clock: systemClock,
        random: this.random,
      });
      this.upstreams.set(target.name, upstream);
      this.stops.push(await upstream.start());
    });
    const indexes = Array.from({ length: this.count }, (_, index) => index);
    await inSequence(indexes, async (index) => {
      const link = new StandInLink({
        address: linkAddress(index),
        farAddress: hostAddress(index, 7401),
        delayMilliseconds: 1,
        clock: systemClock,
      });
      this.links.push(link);
      this.stops.push(await link.start());
      await writeFile(this.settingsFile(index), JSON.stringify(this.settings(index)));
      this.daemons.push({
        index,
        callers: hostAddress(index, 8080),
        operators: hostAddress(index, 9090),
        process: this.spawn(index),
        isPaused: false,
      });
    });
    await inSequence(indexes, (index) => this.waitUntilReady(index));
    await systemClock.sleep(2_000);
    const reply = await new OperatorClient(hostAddress(0, 9090)).change({
      identity: 'contracts',
      author: 'test',
      script,
      isDryRun: false,
    });
    if (reply.kind !== 'accepted') throw new Error(JSON.stringify(reply));
    await systemClock.sleep(1_000);
  }

  public signal(index: number, signal: NodeJS.Signals): void {
    this.daemons[index]?.process.kill(signal);
  }

  /** Starts a new process with the settings of a daemon that has exited. */
  public async restart(index: number): Promise<void> {
    const daemon = this.daemons[index];
    if (daemon === undefined) return;
    daemon.process = this.spawn(index);
    daemon.isPaused = false;
    await this.waitUntilReady(index);
  }

  /** Waits until the process has exited; returns its exit status, or null after a signal. */
  public async waitForExit(index: number): Promise<number | null> {
    const { process } = this.daemons[index]!;
    if (process.exitCode !== null || process.signalCode !== null) return process.exitCode;
    return new Promise((resolve) => {
      process.once('exit', (code) => resolve(code));
    });
  }

  public async stop(): Promise<void> {
    await Promise.all(
      this.daemons.map(async ({ index }) => {
        this.signal(index, 'SIGCONT');
        this.signal(index, 'SIGKILL');
        await this.waitForExit(index);
      }),
    );
    await mergeStops(this.stops)();
    await rm(this.folder, { recursive: true });
  }

  private async waitUntilReady(index: number): Promise<void> {
    const end = systemClock.now() + READY_MILLISECONDS;
    const isReady = async () => {
      const response = await fetch(`http://${hostAddress(index, 9090)}/health`).catch(() => null);
      return response?.ok === true;
    };
    // eslint-disable-next-line no-await-in-loop
    while (!(await isReady())) {
      if (systemClock.now() > end) throw new Error(`daemon ${index} is not ready`);
      // eslint-disable-next-line no-await-in-loop
      await systemClock.sleep(POLL_MILLISECONDS);
    }
  }

  private spawn(index: number): ChildProcess {
    return spawn(process.execPath, [PROGRAM, '--settings', this.settingsFile(index)], {
      stdio: 'ignore',
    });
  }

  private settingsFile(index: number): string {
    return join(this.folder, `host-${index}.yaml`);
  }

  private settings(index: number) {
    const others = Array.from({ length: this.count }, (_, other) => other);
    return {
      ...fleetSettings(this.deployment, index, this.count, false),
      platform: { address: PLATFORM_ADDRESS, retentionMilliseconds: RETENTION_MILLISECONDS },
      reachedThrough: (this.isDirect ? [] : others)
        .filter((other) => other !== index)
        .map((other) => ({ address: hostAddress(other, 7401), via: linkAddress(other) })),
    };
  }
}
