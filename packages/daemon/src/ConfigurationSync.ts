/**
 * Pulls the configuration from peers that have a newer one: at startup, while the log is
 * unreachable, and when a member's update shows a higher offset. Also serves peers' pulls.
 */
import type { ConfigurationStore, LogEntry } from '@cactusrun/configuration';
import { packState, unpackState } from '@cactusrun/configuration';
import type { Clock, Counters, Host, Random, Stop } from '@cactusrun/core';
import { pickOne, repeatUntilAborted, startTask } from '@cactusrun/core';
import type { Member, Membership } from '@cactusrun/membership';
import type { SynchroniseReply, SynchroniseRequest } from '@cactusrun/protocol';
import {
  create,
  EntrySchema,
  SynchroniseReplySchema,
  SynchroniseRequestSchema,
} from '@cactusrun/protocol';
import type PeerClients from './PeerClients.js';

const SYNC_PERIOD_MILLISECONDS = 1_000;
const PULL_TIMEOUT_MILLISECONDS = 3_000;

export interface ConfigurationSyncOptions {
  readonly self: Host;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
}

export default class ConfigurationSync {
  private isPulling = false;

  constructor(private readonly options: ConfigurationSyncOptions) {}

  /** Synchronises with peers until the returned function is called. */
  public start(): Stop {
    const { clock, random, membership, counters } = this.options;
    const stopListening = membership.listen((event) => {
      if (event.kind === 'news') this.pullIfNewer(event.member);
    });
    const stopTask = startTask(
      (signal) =>
        repeatUntilAborted(signal, async () => {
          await clock.sleep(SYNC_PERIOD_MILLISECONDS * (0.5 + random.unit()), signal);
          if (!signal.aborted) await this.pullFromNewerPeer();
        }),
      () => counters.add('synchronise', 'task-failed'),
    );
    return async () => {
      stopListening();
      await stopTask();
    };
  }

  /** Answers a peer with the entries after its offset, or with the whole state. */
  public serve(request: SynchroniseRequest): SynchroniseReply {
    const { store, counters } = this.options;
    const { current } = store;
    const after = Number(request.offset);
    const reply = create(SynchroniseReplySchema, {
      offset: BigInt(current.offset),
      revision: BigInt(current.revision),
      isReady: store.isReady,
    });
    if (current.offset <= after) return reply;
    const entries = store.entriesAfter(after);
    counters.add('synchronise', entries === undefined ? 'served-state' : 'served-entries');
    if (entries === undefined) reply.packedState = packState(current);
    else reply.entries = entries.map(toEntry);
    return reply;
  }

  private async pullFromNewerPeer(): Promise<void> {
    const { store, membership, random, self } = this.options;
    const others = membership.serving().filter(({ host }) => host.name !== self.name);
    const newer = others.filter((member) => member.configurationOffset > store.current.offset);
    const chosen = pickOne(random, newer.length > 0 || store.isReady ? newer : others);
    if (chosen !== undefined) await this.pull(chosen);
  }

  private pullIfNewer(member: Member): void {
    if (member.configurationOffset <= this.options.store.current.offset) return;
    this.pull(member).catch(() => {});
  }

  private async pull(member: Member): Promise<void> {
    if (this.isPulling) return;
    this.isPulling = true;
    const { clients, counters, store, self } = this.options;
    try {
      const request = create(SynchroniseRequestSchema, {
        offset: BigInt(store.current.offset),
        sender: self.name,
      });
      const reply = await clients.to(member.host).synchronise(request, PULL_TIMEOUT_MILLISECONDS);
      this.applyReply(reply);
    } catch {
      counters.add('synchronise', 'pull-failed');
    } finally {
      this.isPulling = false;
    }
  }

  private applyReply(reply: SynchroniseReply): void {
    const { store, counters } = this.options;
    if (reply.entries.length > 0) {
      counters.add('synchronise', 'took-entries');
      store.apply(reply.entries.map(fromEntry));
    } else if (reply.packedState.length > 0) {
      const state = unpackState(reply.packedState);
      if (state === undefined) counters.add('synchronise', 'state-unreadable');
      else store.adopt(state, 'peer');
    }
  }
}

function toEntry(entry: LogEntry) {
  const { timestamp, data } = entry;
  return create(EntrySchema, { offset: BigInt(entry.offset), timestamp, data });
}

function fromEntry(entry: {
  readonly offset: bigint;
  readonly timestamp: number;
  readonly data: string;
}): LogEntry {
  return { offset: Number(entry.offset), timestamp: entry.timestamp, data: entry.data };
}
