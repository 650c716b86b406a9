/** A member of the fleet as one daemon sees it. */
import type { Host } from '@cactusrun/core';
import type { MemberUpdate } from '@cactusrun/protocol';
import { create, MemberUpdateSchema } from '@cactusrun/protocol';

export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

export interface Member {
  readonly host: Host;
  /** Orders all updates about a host name, across its incarnations. */
  readonly version: number;
  readonly state: MemberState;
  /** Configuration offset that the member last reported. */
  readonly configurationOffset: number;
  /** Used share of its capacity that the member last reported. */
  readonly loadPercent: number;
}

/** Of two updates with the same version, the one whose state is listed later wins. */
const STATE_PRECEDENCE: readonly MemberState[] = ['alive', 'suspect', 'leaving', 'dead'];

function isMemberState(text: string): text is MemberState {
  return (STATE_PRECEDENCE as readonly string[]).includes(text);
}

/** Whether the update replaces the known state. */
export function supersedes(update: Member, known: Member): boolean {
  if (update.version !== known.version) return update.version > known.version;
  return STATE_PRECEDENCE.indexOf(update.state) > STATE_PRECEDENCE.indexOf(known.state);
}

export function toUpdate(member: Member): MemberUpdate {
  return create(MemberUpdateSchema, {
    name: member.host.name,
    incarnation: member.host.incarnation,
    zone: member.host.zone,
    region: member.host.region,
    callerAddress: member.host.callerAddress,
    peerAddress: member.host.peerAddress,
    heartbeatAddress: member.host.heartbeatAddress,
    version: member.version,
    state: member.state,
    configurationOffset: BigInt(member.configurationOffset),
    loadPercent: member.loadPercent,
  });
}

/** Decodes an update from another daemon; undefined if it is malformed. */
export function fromUpdate(update: MemberUpdate): Member | undefined {
  const { name, incarnation, heartbeatAddress, peerAddress } = update;
  const isComplete = [name, incarnation, heartbeatAddress, peerAddress].every(
    (text) => text !== '',
  );
  if (!isComplete || !isMemberState(update.state) || !Number.isFinite(update.version)) {
    return undefined;
  }
  return {
    host: {
      name: update.name,
      incarnation: update.incarnation,
      zone: update.zone,
      region: update.region,
      callerAddress: update.callerAddress,
      peerAddress: update.peerAddress,
      heartbeatAddress: update.heartbeatAddress,
    },
    version: update.version,
    state: update.state,
    configurationOffset: Number(update.configurationOffset),
    loadPercent: update.loadPercent,
  };
}
