/** Counts the requests of peers that are being served. */
import type { AnswerStream } from '@cactusrun/protocol';

export default class StreamCount {
  private open = 0;

  public get size(): number {
    return this.open;
  }

  /** Counts the stream of a request until it closes. */
  public add(stream: AnswerStream): void {
    this.open += 1;
    stream.once('close', () => {
      this.open -= 1;
    });
  }
}
