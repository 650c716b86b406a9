/** A fleet in one process, with stand-ins for the platform, the upstreams and the link. */
import type { Clock, Logger, Random, Stop } from '@cactusrun/core';
import { createRandom, inSequence, mergeStops, silentLogger, systemClock } from '@cactusrun/core';
import type { Daemon, Settings } from '@cactusrun/daemon';
import { parseSettings, startDaemon } from '@cactusrun/daemon';
import { LinkPipe, StandInLink, StandInPlatform, StandInUpstream } from '@cactusrun/stand-ins';
import type { ContractTarget, Deployment } from './Deployment.js';
import { parseTargets, readContracts } from './Deployment.js';

const PLATFORM_ADDRESS = '127.0.0.10:7400';
const FIRST_HOST_NUMBER = 21;
const LINK_DELAY_MILLISECONDS = 30;
const LINK_BITS_PER_SECOND = 30_000_000;
const COLD_START_MILLISECONDS = 0;
const RETENTION_MILLISECONDS = 86_400_000;
const APPENDS_PER_SECOND = 300;

export interface FleetOptions {
  readonly deployment: Deployment;
  readonly daemons: number;
  readonly seed: number;
  readonly logger?: Logger;
  /** Whether daemons reach peers in the other region through the link stand-in. */
  readonly hasLink: boolean;
  readonly workMilliseconds?: number;
  /** Grace time of a stop; that of the settings if absent. */
  readonly graceMilliseconds?: number;
}

/** `ip:port` of a host of a fleet. */
export function hostAddress(index: number, port: number): string {
  return `127.0.0.${FIRST_HOST_NUMBER + index}:${port}`;
}

/** Address on which a daemon serves operators. */
export function operatorAddress(index: number): string {
  return hostAddress(index, 9090);
}

/** `ip:port` of the link stand-in through which peers reach a host. */
export function linkAddress(index: number): string {
  return `127.0.9.${FIRST_HOST_NUMBER + index}:7401`;
}

/** The settings of one daemon of a fleet, validated like a settings file. */
export function fleetSettings(
  deployment: Deployment,
  index: number,
  count: number,
  hasLink: boolean,
): Settings {
  const zoneOf = (host: number) => deployment.zones[host % deployment.zones.length] ?? '';
  const regionOf = (host: number) => zoneOf(host).split('-')[0];
  const hosts = Array.from({ length: count }, (_, host) => host);
  const remoteHosts = hosts.filter((host) => hasLink && regionOf(host) !== regionOf(index));
  const settings = {
    host: { name: `host-${index + 1}`, zone: zoneOf(index), region: regionOf(index) },
    addresses: {
      callers: hostAddress(index, 8080),
      peers: hostAddress(index, 7401),
      heartbeats: hostAddress(index, 7402),
      operators: hostAddress(index, 9090),
    },
    platform: { address: PLATFORM_ADDRESS, retentionMilliseconds: RETENTION_MILLISECONDS },
    seeds: hosts.slice(0, 3).map((host) => hostAddress(host, 7402)),
    reachedThrough: remoteHosts.map((host) => ({
      address: hostAddress(host, 7401),
      via: linkAddress(host),
    })),
  };
  return parseSettings(JSON.stringify(settings), `host-${index + 1}`);
}

export default class Fleet {
  public readonly daemons: Daemon[] = [];

  public readonly upstreams = new Map<string, StandInUpstream>();

  public readonly links: StandInLink[] = [];

  public readonly pipes: Readonly<Record<'forward' | 'backward', LinkPipe>>;

  public readonly platform: StandInPlatform;

  private readonly clock: Clock = systemClock;

  private readonly random: Random;

  private readonly stops: Stop[] = [];

  constructor(private readonly options: FleetOptions) {
    this.random = createRandom(options.seed);
    this.platform = new StandInPlatform({
      address: PLATFORM_ADDRESS,
      clock: this.clock,
      retentionMilliseconds: RETENTION_MILLISECONDS,
      appendsPerSecond: APPENDS_PER_SECOND,
    });
    this.pipes = {
      forward: new LinkPipe(LINK_BITS_PER_SECOND, this.clock),
      backward: new LinkPipe(LINK_BITS_PER_SECOND, this.clock),
    };
  }

  /** Starts the stand-ins and the daemons; doesn't publish contracts. */
  public async start(): Promise<void> {
    const { deployment, daemons, hasLink } = this.options;
    this.stops.push(await this.platform.start());
    const script = await readContracts(deployment.name);
    await inSequence(parseTargets(script), (target) => this.startUpstream(target));
    const indexes = Array.from({ length: daemons }, (_, index) => index);
    if (hasLink) await inSequence(indexes, (index) => this.startLink(index));
    await inSequence(indexes, async (index) => {
      this.daemons.push(await this.startDaemon(index));
    });
  }

  /** Starts the daemon with this index, also as the replacement of a stopped one. */
  public startDaemon(index: number): Promise<Daemon> {
    const { deployment, daemons, hasLink, logger, seed, graceMilliseconds } = this.options;
    const settings = fleetSettings(deployment, index, daemons, hasLink);
    return startDaemon({
      settings:
        graceMilliseconds === undefined
          ? settings
          : { ...settings, shutdown: { graceMilliseconds } },
      clock: this.clock,
      logger: logger ?? silentLogger,
      seed: seed + index + 1,
    });
  }

  /** Stops all daemons and stand-ins without draining. */
  public async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await mergeStops(this.stops)();
  }

  private async startUpstream(target: ContractTarget): Promise<void> {
    const upstream = new StandInUpstream({
      name: target.name,
      address: target.address,
      slots: target.slots,
      workMilliseconds: this.options.workMilliseconds ?? this.options.deployment.workMilliseconds,
      coldMilliseconds: COLD_START_MILLISECONDS,
      clock: this.clock,
      random: this.random,
    });
    this.upstreams.set(target.name, upstream);
    this.stops.push(await upstream.start());
  }

  private async startLink(index: number): Promise<void> {
    const link = new StandInLink({
      address: linkAddress(index),
      farAddress: hostAddress(index, 7401),
      delayMilliseconds: LINK_DELAY_MILLISECONDS,
      clock: this.clock,
      pipes: this.pipes,
    });
    this.links.push(link);
    this.stops.push(await link.start());
  }
}
