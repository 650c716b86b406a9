/** A member of the fleet as one daemon sees it. */
import type { Host } from '@cactusrun/core';
import type { MemberUpdate } from '@cactusrun/protocol';
import { create, MemberUpdateSchema } from '@cactusrun/protocol';

export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

export interface Member {
  readonly host: Host;
  /** Orders everything said about a host's name, across its incarnations. */
  readonly version: number;
  readonly state: MemberState;
  /** Offset of the configuration that the member last told of. */
  readonly configurationOffset: number;
  /** Share of its capacity in use, as it last told. */
  readonly loadPercent: number;
}

/** Of two statements with one version, the one further to the right holds. */
const STATE_ORDER: readonly MemberState[] = ['alive', 'suspect', 'leaving', 'dead'];

function isMemberState(text: string): text is MemberState {
  return (STATE_ORDER as readonly string[]).includes(text);
}

/** Whether the statement replaces what is known. */
export function supersedes(update: Member, known: Member): boolean {
  if (update.version !== known.version) return update.version > known.version;
  return STATE_ORDER.indexOf(update.state) > STATE_ORDER.indexOf(known.state);
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

/** Reads what another daemon says; undefined for anything out of shape. */
export function fromUpdate(update: MemberUpdate): Member | undefined {
  const isComplete =
    update.name !== '' && update.incarnation !== '' && update.heartbeatAddress !== '';
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
