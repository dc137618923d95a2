/** Times and bounds of peer connections. */
export interface PeerSettings {
  /** An unused connection is closed after this time, in ms. */
  readonly idleMs: number;
  /** Silence on a connection in use after which a heartbeat is sent, in ms. */
  readonly heartbeatMs: number;
  /** Silence on a connection in use after which it is dead, in ms. */
  readonly deadMs: number;
  /** Silence on a connection in use after which new calls try a fresh connection, in ms. */
  readonly doubtMs: number;
  /** Time to open a connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Bytes of a stream that may be on their way or unread, and one frame more. */
  readonly windowBytes: number;
  /** Unsent bytes on a connection above which calls fail instead of adding to them. */
  readonly maxBufferedBytes: number;
}

export const defaultPeerSettings: PeerSettings = {
  idleMs: 60_000,
  heartbeatMs: 2000,
  deadMs: 5000,
  doubtMs: 2500,
  connectTimeoutMs: 2000,
  // 300 streams to one stalled peer hold 19 MB; 64 KiB per 16 ms round trip exceed the slowest link.
  windowBytes: 64 * 1024,
  maxBufferedBytes: 32 * 1024 * 1024,
};
