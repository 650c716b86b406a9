/** Numbers that stand for names in messages between daemons. */
import type { AttemptKind, AttemptOutcome, DaemonState } from './PeerMessage.js';

/** Attempt outcomes by their number on the wire, from 1 on; 0 stands for none. */
export const OUTCOMES: readonly AttemptOutcome[] = [
  'good',
  'failed',
  'refused',
  'unreachable',
  'stalled',
  'dropped',
];

/** Kinds of attempts by their number on the wire, from -1 downwards. */
export const ATTEMPT_KINDS: readonly AttemptKind[] = ['fresh', 'repeated'];

/** States by their number on the wire. */
export const STATES: readonly DaemonState[] = ['starting', 'ready', 'leaving'];

/** Stands for an absent number, and for an unlimited rate. */
export const NONE = -1;
