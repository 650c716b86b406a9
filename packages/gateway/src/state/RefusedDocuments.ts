/**
 * The documents that this daemon could not decode, by digest: each is decoded and logged once,
 * however often the store and peers provide it.
 */
import { createHash } from 'node:crypto';

/** Number of documents that are remembered; older ones are forgotten first. */
const MAXIMUM_DOCUMENTS = 16;

export default class RefusedDocuments {
  /** The versions that the documents state, if readable, by digest. */
  private readonly versions = new Map<string, number | undefined>();

  public get isEmpty(): boolean {
    return this.versions.size === 0;
  }

  public add(document: string, version: number | undefined): void {
    this.versions.set(digestOf(document), version);
    const [oldest] = this.versions.keys();
    if (this.versions.size > MAXIMUM_DOCUMENTS) this.versions.delete(oldest!);
  }

  public has(document: string): boolean {
    return !this.isEmpty && this.versions.has(digestOf(document));
  }

  public hasVersion(version: number): boolean {
    return [...this.versions.values()].includes(version);
  }
}

function digestOf(document: string): string {
  return createHash('sha256').update(document).digest('base64url');
}
