/**
 * Messages between daemons as bytes: JSON, the frequent kinds as lists of their fields in a fixed
 * order, since every byte between availability zones is paid for.
 */
import type { CallOutcome, CallReport, PeerMessage, PeerMessageKind } from './PeerMessage.js';

type Calls = Extract<PeerMessage, { kind: 'calls' }>;
type Beat = Extract<PeerMessage, { kind: 'beat' }>;
type ReportFields = [string, number, number, number, number];
type CallsFields = ['calls', string, ReportFields[]];
type SickFields = [string, number];
type BeatFields = [
  'beat',
  string,
  number,
  number,
  number,
  number,
  Record<string, number>,
  SickFields[],
];

const KINDS: readonly string[] = [
  'hello',
  'beat',
  'peers',
  'calls',
  'news',
  'crash',
] satisfies readonly PeerMessageKind[];

/** Outcomes by their number on the wire; 0 stands for none. */
const OUTCOMES: readonly CallOutcome[] = ['good', 'failed', 'refused', 'unreachable', 'stalled'];
const NONE = -1;

/** The bytes of a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  if (message.kind === 'calls') return toBytes(packCalls(message));
  if (message.kind === 'beat') return toBytes(packBeat(message));
  return toBytes(message);
}

/** Reads a datagram; undefined when it is none of this protocol. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  try {
    const value = JSON.parse(bytes.toString('utf8')) as CallsFields | BeatFields | PeerMessage;
    if (Array.isArray(value)) {
      return value[0] === 'calls' ? unpackCalls(value) : unpackBeat(value as BeatFields);
    }
    return KINDS.includes(value.kind) ? value : undefined;
  } catch {
    return undefined;
  }
}

function toBytes(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function packCalls({ sender, reports }: Calls): CallsFields {
  const rows = reports.map(({ target, outstanding, outcome, there, elapsed }): ReportFields => [
    target,
    outstanding,
    outcome === undefined ? 0 : OUTCOMES.indexOf(outcome) + 1,
    there ?? NONE,
    elapsed ?? NONE,
  ]);
  return ['calls', sender, rows];
}

function unpackCalls([, sender, rows]: CallsFields): Calls {
  const reports = rows.map(([target, outstanding, number, there, elapsed]): CallReport => {
    const outcome = OUTCOMES[number - 1];
    return {
      target,
      outstanding,
      ...(outcome === undefined ? {} : { outcome }),
      ...(there === NONE ? {} : { there }),
      ...(elapsed === NONE ? {} : { elapsed }),
    };
  });
  return { kind: 'calls', sender, reports };
}

function packBeat({ sender, incarnation, versions, outstanding, sick }: Beat): BeatFields {
  const { configuration, targets, ageMilliseconds } = versions;
  const rows = sick.map((one): SickFields => [one.target, one.ageMilliseconds]);
  return ['beat', sender, incarnation, configuration, targets, ageMilliseconds, outstanding, rows];
}

function unpackBeat(fields: BeatFields): Beat {
  const [, sender, incarnation, configuration, targets, ageMilliseconds, outstanding, rows] =
    fields;
  const versions = { configuration, targets, ageMilliseconds };
  const sick = rows.map(([target, age]) => ({ target, ageMilliseconds: age }));
  return { kind: 'beat', sender, incarnation, versions, outstanding, sick };
}
