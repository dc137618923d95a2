const lineFeed = 0x0a;

/** Complete events of a stream. */
export interface CompleteEvents {
  /** The bytes of the events, unchanged. */
  readonly bytes: Buffer;
  /** Id of the last event that has one. */
  readonly lastId: string | undefined;
}

const lastIdOf = (events: Buffer): string | undefined => {
  const text = events.toString('latin1');
  const at = Math.max(text.startsWith('id:') ? 0 : -1, text.lastIndexOf('\nid:') + 1 || -1);
  if (at < 0) return undefined;
  const end = text.indexOf('\n', at);
  return text.slice(at + 3, end < 0 ? undefined : end).trim();
};

/** Splits the bytes of a server-sent event stream after its last complete event. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Adds a chunk; returns the events that are complete now, or undefined if there are none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = EventSplitter.endOfEvents(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    return { bytes: whole, lastId: lastIdOf(whole) };
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.pending;
  }

  /** Position after the last blank line; lines end with LF or CR LF. */
  private static endOfEvents(bytes: Buffer): number {
    let at = bytes.lastIndexOf(lineFeed);
    while (at > 0) {
      const previous = bytes[at - 1] === 0x0d ? at - 2 : at - 1;
      if (previous >= 0 && bytes[previous] === lineFeed) return at + 1;
      at = bytes.lastIndexOf(lineFeed, at - 1);
    }
    return 0;
  }
}
