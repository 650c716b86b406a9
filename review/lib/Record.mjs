/** The record of one run: what was sent, answered and run, one line each, with seconds since the start. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export default class Record {
  /** @param folder - where `record.txt` is written */
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = performance.now();
    this.lines = [];
  }

  /** Seconds since the start. */
  now() {
    return (performance.now() - this.startedAt) / 1_000;
  }

  add(text) {
    this.lines.push(`${this.now().toFixed(3).padStart(8)}  ${text}`);
  }

  /** Adds a line and shows it. */
  say(text) {
    this.add(text);
    process.stdout.write(`${text}\n`);
  }

  save() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}
