/** A stand-in that serves HTTP on 127.0.0.1. */
export interface Standin {
  /** Starts to serve; resolves with the address, `127.0.0.1:port`. */
  listen(): Promise<string>;
  /** Stops to serve and breaks open connections. */
  close(): Promise<void>;
}
