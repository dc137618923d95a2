/** Messages and encoded bytes in both directions; headers of TCP and WebSocket are not counted. */
export interface Traffic {
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly messagesIn: number;
  readonly messagesOut: number;
}

/** Traffic split into what runs the system and what callers asked for. */
export interface PeerTraffic {
  readonly control: Traffic;
  readonly data: Traffic;
}

/** Counts traffic of one class. */
export class TrafficCounter implements Traffic {
  bytesIn = 0;

  bytesOut = 0;

  messagesIn = 0;

  messagesOut = 0;

  countIn(bytes: number): void {
    this.bytesIn += bytes;
    this.messagesIn += 1;
  }

  countOut(bytes: number): void {
    this.bytesOut += bytes;
    this.messagesOut += 1;
  }

  read(): Traffic {
    const { bytesIn, bytesOut, messagesIn, messagesOut } = this;
    return { bytesIn, bytesOut, messagesIn, messagesOut };
  }
}
