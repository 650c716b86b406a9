/**
 * Decodes datagrams from peers into checked messages, once, so that nothing behind has to doubt a
 * field. Peers may run other builds: fields that this one does not know are left out.
 */
import { decodeTargetChange } from '../state/decodeTargetEntry.js';
import { decodeHeartbeat, decodeVersions } from './decodeHeartbeat.js';
import { decodeReports, decodeUses } from './decodeReports.js';
import {
  isAddress,
  isAmount,
  isFlag,
  isListOf,
  isOptional,
  isRecord,
  isText,
  isWhole,
} from './fieldChecks.js';
import type {
  LeavingTarget,
  PeerAddress,
  PeerDescription,
  PeerMessage,
  PeerMessageKind,
} from './PeerMessage.js';
import { STATES } from './wireNumbers.js';

type Fields = Readonly<Record<string, unknown>>;
type ListKind = 'calls' | 'beat';
type Decoder<Input, Kind extends PeerMessageKind> = (
  fields: Input,
) => Extract<PeerMessage, { kind: Kind }> | undefined;
type ListDecoders = { readonly [Kind in ListKind]: Decoder<readonly unknown[], Kind> };
type RecordDecoders = {
  readonly [Kind in Exclude<PeerMessageKind, ListKind>]: Decoder<Fields, Kind>;
};

const LIST_DECODERS: ListDecoders = { calls: decodeReports, beat: decodeHeartbeat };

const RECORD_DECODERS: RecordDecoders = {
  hello: ({ sender, wantsReply, wantsPeers }) => {
    const description = decodeDescription(sender);
    const areFlags = [wantsReply, wantsPeers].every((value) => isOptional(value, isFlag));
    if (description === undefined || !areFlags) return undefined;
    const wishes = { wantsReply: wantsReply === true, wantsPeers: wantsPeers === true };
    return { kind: 'hello', sender: description, ...wishes };
  },
  peers: ({ sender, peers }) => {
    const addresses = decodePeerAddresses(peers);
    if (!isText(sender) || addresses === undefined) return undefined;
    return { kind: 'peers', sender, peers: addresses };
  },
  'region-use': ({ sender, incarnation, region, address, number, part, uses: rows }) => {
    const uses = decodeUses(rows);
    if (!isText(sender) || !isText(region) || !isAddress(address)) return undefined;
    if (!isWhole(incarnation) || !isWhole(number) || !isAmount(part)) return undefined;
    if (part > 1 || uses === undefined) return undefined;
    return { kind: 'region-use', sender, incarnation, region, address, number, part, uses };
  },
  news: ({ sender, versions: stated, after, changes }) => {
    if (!isText(sender) || !isRecord(stated) || !isWhole(after)) return undefined;
    const { configuration, targets, ageMilliseconds } = stated;
    const versions = decodeVersions(configuration, targets, ageMilliseconds);
    if (versions === undefined || !Array.isArray(changes)) return undefined;
    const decoded = changes.flatMap((change) => decodeTargetChange(change) ?? []);
    return { kind: 'news', sender, versions, after, changes: decoded };
  },
  'leaving-targets': ({ sender, leavingTargets }) => {
    if (!isText(sender) || !isListOf(leavingTargets, isLeavingTarget)) return undefined;
    const decoded = leavingTargets.map(({ target, bornAt }) => ({ target, bornAt }));
    return { kind: 'leaving-targets', sender, leavingTargets: decoded };
  },
  crash: ({ sender, fingerprint, crashes }) => {
    if (!isText(sender) || !isText(fingerprint) || !isAmount(crashes)) return undefined;
    return { kind: 'crash', sender, fingerprint, crashes };
  },
};

/** Decodes a datagram; returns undefined if it is not a message of this protocol. */
export default function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const value = parseJson(bytes);
  if (Array.isArray(value)) return decodeWith(LIST_DECODERS, value[0], value);
  return isRecord(value) ? decodeWith(RECORD_DECODERS, value.kind, value) : undefined;
}

/**
 * Decodes addresses of daemons; undefined if they are no list. Single odd ones are left out, since
 * daemons of earlier builds pass on whatever they were given.
 */
export function decodePeerAddresses(value: unknown): readonly PeerAddress[] | undefined {
  if (!Array.isArray(value)) return undefined;
  return value.flatMap((peer: unknown) => {
    if (!isRecord(peer)) return [];
    const { address, region } = peer;
    if (!isAddress(address) || !isOptional(region, isText)) return [];
    return [{ address, ...(region === undefined ? {} : { region }) }];
  });
}

function decodeWith<Input>(
  decoders: Readonly<Record<string, (fields: Input) => PeerMessage | undefined>>,
  kind: unknown,
  fields: Input,
): PeerMessage | undefined {
  if (!isText(kind) || !Object.hasOwn(decoders, kind)) return undefined;
  return decoders[kind]?.(fields);
}

function decodeDescription(value: unknown): PeerDescription | undefined {
  if (!isRecord(value) || !isDescription(value)) return undefined;
  const { name, incarnation, address, callerAddress, relayAddress, zone, region, state } = value;
  const { isCutOff, authorizesCallers, capacity } = value;
  return {
    name,
    incarnation,
    address,
    callerAddress,
    ...(relayAddress === undefined ? {} : { relayAddress }),
    zone,
    region,
    state,
    ...(isCutOff === undefined ? {} : { isCutOff }),
    ...(authorizesCallers === undefined ? {} : { authorizesCallers }),
    capacity,
  };
}

function isDescription(value: Fields): value is Fields & PeerDescription {
  const { name, incarnation, address, callerAddress, relayAddress, zone, region, state } = value;
  const { isCutOff, authorizesCallers, capacity } = value;
  return (
    [name, zone, region].every(isText) &&
    isWhole(incarnation) &&
    [address, callerAddress].every(isAddress) &&
    isOptional(relayAddress, isAddress) &&
    STATES.some((known) => known === state) &&
    isOptional(isCutOff, isFlag) &&
    isOptional(authorizesCallers, isFlag) &&
    isAmount(capacity)
  );
}

function isLeavingTarget(value: unknown): value is LeavingTarget {
  return isRecord(value) && isText(value.target) && isWhole(value.bornAt);
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}
