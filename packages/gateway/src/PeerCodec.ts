/**
 * Messages between daemons as bytes: JSON, the frequent kinds as lists of their fields in a fixed
 * order, since every byte between availability zones is paid for.
 */
import type {
  CallBeginning,
  CallOutcome,
  CallReport,
  DaemonState,
  PeerMessage,
  PeerMessageKind,
} from './PeerMessage.js';

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

/** What is told of a request, by its number on the wire; 0 stands for nothing. */
const OUTCOMES: readonly CallOutcome[] = [
  'good',
  'failed',
  'refused',
  'unreachable',
  'stalled',
  'dropped',
];
const BEGINNINGS: readonly CallBeginning[] = ['fresh', 'repeated'];
/** States by their number on the wire. */
const STATES: readonly DaemonState[] = ['starting', 'ready', 'leaving'];
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
  const rows = reports.map(
    ({ target, outstanding, begins, outcome, there, elapsed }): ReportFields => [
      target,
      outstanding,
      numberOf(begins, outcome),
      there ?? NONE,
      elapsed ?? NONE,
    ],
  );
  return ['calls', sender, rows];
}

/** Beginnings are numbered downwards from -1, outcomes upwards from 1. */
function numberOf(begins: CallBeginning | undefined, outcome: CallOutcome | undefined): number {
  if (begins !== undefined) return -1 - BEGINNINGS.indexOf(begins);
  return outcome === undefined ? 0 : OUTCOMES.indexOf(outcome) + 1;
}

function unpackCalls([, sender, rows]: CallsFields): Calls {
  const reports = rows.map(([target, outstanding, number, there, elapsed]): CallReport => {
    const outcome = OUTCOMES[number - 1];
    const begins = BEGINNINGS[-1 - number];
    return {
      target,
      outstanding,
      ...(begins === undefined ? {} : { begins }),
      ...(outcome === undefined ? {} : { outcome }),
      ...(there === NONE ? {} : { there }),
      ...(elapsed === NONE ? {} : { elapsed }),
    };
  });
  return { kind: 'calls', sender, reports };
}

function packBeat(beat: Beat): BeatFields {
  const { configuration, targets, ageMilliseconds } = beat.versions;
  return [
    'beat',
    beat.sender,
    beat.incarnation,
    STATES.indexOf(beat.state),
    beat.pauseMilliseconds,
    configuration,
    targets,
    ageMilliseconds,
    beat.outstanding,
    beat.sick.map((one): SickFields => [one.target, one.ageMilliseconds]),
  ];
}

function unpackBeat(fields: BeatFields): Beat | undefined {
  const [, sender, incarnation, stateNumber, pauseMilliseconds, ...known] = fields;
  const [configuration, targets, ageMilliseconds, outstanding, rows] = known;
  const state = STATES[stateNumber];
  if (state === undefined) return undefined;
  return {
    kind: 'beat',
    sender,
    incarnation,
    state,
    pauseMilliseconds,
    versions: { configuration, targets, ageMilliseconds },
    outstanding,
    sick: rows.map(([target, age]) => ({ target, ageMilliseconds: age })),
  };
}
