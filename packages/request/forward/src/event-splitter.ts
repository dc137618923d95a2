const lineFeed = 0x0a;

/** Complete events of a stream. */
export interface CompleteEvents {
  /** The bytes of the events, unchanged. */
  readonly bytes: Buffer;
  /** Ids of the events that have one, in order. */
  readonly ids: readonly string[];
}

const idLine = /^id:(.*)$/gmu;

const blankLine = /\r?\n\r?\n/u;

const idsOf = (events: Buffer): readonly string[] =>
  Array.from(events.toString('latin1').matchAll(idLine), ([, id]) => id.trim());

const isComment = (event: string): boolean =>
  event.split('\n').every((line) => line.startsWith(':') || line.trim() === '');

/** Whether the first of the events, apart from comments, has an id. */
export const beginsWithId = ({ bytes }: CompleteEvents): boolean => {
  const first = bytes
    .toString('latin1')
    .split(blankLine)
    .find((event) => !isComment(event));
  return first === undefined || /^id:/mu.test(first);
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
    return { bytes: whole, ids: idsOf(whole) };
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
