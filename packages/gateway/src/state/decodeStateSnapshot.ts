/** Checks the whole state that a peer sends. */
import { decodeVersions } from '../fleet/decodeHeartbeat.js';
import { decodePeerAddresses } from '../fleet/decodePeerMessage.js';
import { isOptional, isRecord, isText } from '../fleet/fieldChecks.js';
import { decodeTargetEntry } from './decodeTargetEntry.js';
import type { StateSnapshot } from './GatewayState.js';

/**
 * Decodes a state; undefined if it is none. Single unreadable entries and addresses are left out, as
 * they are where the store is read.
 */
export default function decodeStateSnapshot(value: unknown): StateSnapshot | undefined {
  if (!isRecord(value) || !isRecord(value.versions) || !Array.isArray(value.targets)) {
    return undefined;
  }
  const { document, targets } = value;
  const { configuration, targets: position, ageMilliseconds } = value.versions;
  const versions = decodeVersions(configuration, position, ageMilliseconds);
  const peers = decodePeerAddresses(value.peers);
  if (!isOptional(document, isText) || versions === undefined || peers === undefined) {
    return undefined;
  }
  const entries = targets.flatMap((entry) => decodeTargetEntry(entry) ?? []);
  return { document, targets: entries, versions, peers };
}
