/** Member updates to disseminate, each a bounded number of times, the least transmitted first. */
import type { Member } from './Member.js';

const TRANSMISSIONS_PER_DOUBLING = 2;

interface QueuedUpdate {
  readonly member: Member;
  readonly transmissions: number;
}

export default class UpdateQueue {
  private readonly entries = new Map<string, QueuedUpdate>();

  public push(member: Member): void {
    this.entries.set(member.host.name, { member, transmissions: 0 });
  }

  /** Returns the updates to send with one message and counts the transmission. */
  public takeNext(count: number, memberCount: number): readonly Member[] {
    if (this.entries.size === 0) return [];
    const limit = TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 2));
    const chosen = [...this.entries.values()]
      .sort((left, right) => left.transmissions - right.transmissions)
      .slice(0, count);
    chosen.forEach(({ member, transmissions }) => {
      if (transmissions + 1 >= limit) this.entries.delete(member.host.name);
      else this.entries.set(member.host.name, { member, transmissions: transmissions + 1 });
    });
    return chosen.map(({ member }) => member);
  }
}
