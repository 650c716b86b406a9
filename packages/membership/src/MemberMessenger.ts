/** Builds and sends one daemon's messages; each carries its own state and some member updates. */
import type { Counters } from '@cactusrun/core';
import { create, MemberMessageSchema } from '@cactusrun/protocol';
import type { Member } from './Member.js';
import { toUpdate } from './Member.js';
import { UPDATES_PER_MESSAGE } from './MembershipConstants.js';
import type { MemberTransport } from './MemberTransport.js';
import type UpdateQueue from './UpdateQueue.js';

export type MessageKind =
  'ping' | 'acknowledge' | 'probe-for-me' | 'probed-for-you' | 'join' | 'members' | 'news';

export interface MemberMessengerOptions {
  readonly transport: MemberTransport;
  readonly queue: UpdateQueue;
  readonly counters: Counters;
  /** The state that this daemon announces of itself. */
  readonly self: () => Member;
  readonly memberCount: () => number;
  /** Whether direct probes of the host fail. */
  readonly isUnreached: (name: string) => boolean;
}

export interface OutgoingMessage {
  readonly kind: MessageKind;
  readonly address: string;
  readonly sequence?: number;
  /** The receiver, if it is a known member. */
  readonly receiver?: Member;
  /** The member that the receiver should probe. */
  readonly subject?: Member;
}

export default class MemberMessenger {
  constructor(private readonly options: MemberMessengerOptions) {}

  public send(outgoing: OutgoingMessage): void {
    const { queue, memberCount, isUnreached, counters } = this.options;
    const { kind, address, sequence = 0, receiver, subject } = outgoing;
    counters.add('heartbeats', kind);
    this.options.transport.send(
      address,
      create(MemberMessageSchema, {
        kind,
        sequence,
        sender: toUpdate(this.options.self()),
        subject: subject?.host.name ?? '',
        subjectAddress: subject?.host.heartbeatAddress ?? '',
        updates: queue.takeNext(UPDATES_PER_MESSAGE, memberCount()).map(toUpdate),
        hearsNot: receiver !== undefined && isUnreached(receiver.host.name),
      }),
    );
  }

  public sendTo(receiver: Member, kind: MessageKind, sequence = 0): void {
    this.send({ kind, address: receiver.host.heartbeatAddress, sequence, receiver });
  }

  /** Sends all the members, split into as many messages as needed. */
  public sendMembers(address: string, members: readonly Member[]): void {
    const count = Math.ceil(members.length / UPDATES_PER_MESSAGE);
    Array.from({ length: count }, (_, index) =>
      members.slice(index * UPDATES_PER_MESSAGE, (index + 1) * UPDATES_PER_MESSAGE),
    ).forEach((updates) => {
      this.options.transport.send(
        address,
        create(MemberMessageSchema, {
          kind: 'members',
          sender: toUpdate(this.options.self()),
          updates: updates.map(toUpdate),
        }),
      );
    });
  }
}
