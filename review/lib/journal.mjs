// Record of a case.
import { writeFileSync } from 'node:fs';

/** What was sent, answered and run, with the time since the start in ms. */
export class Journal {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    this.lines = [];
    this.entries = [];
  }

  now() {
    return performance.now() - this.startedAt;
  }

  /** Ids of the requests that engines have begun to run. */
  ran() {
    return new Set(this.entries.filter(({ kind }) => kind === 'run').map(({ id }) => id));
  }

  note = (kind, fields = {}) => {
    const at = this.now();
    this.entries.push({ ...fields, kind, at });
    const text = Object.entries(fields)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    this.lines.push(`${at.toFixed(1).padStart(9)} ${kind} ${text}`);
  };

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
