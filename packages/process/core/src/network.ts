import type { Result } from 'neverthrow';
import type { Failure } from './failure';

/** A message between daemons. Fields hold numbers, strings, booleans, bytes, arrays and objects. */
export interface Message {
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** An open connection to a peer. Messages arrive in order, or the channel closes. */
export interface Channel {
  /** `ip:port` of the peer, as dialled or as accepted. */
  readonly address: string;
  /** Returns false if the channel is closed; true does not guarantee delivery. */
  send(message: Message): boolean;
  /** Number of bytes passed to `send` that this process has not yet written out. */
  readonly bufferedBytes: number;
  /** Messages from the peer; the iteration ends when the channel closes. */
  readonly messages: AsyncIterable<Message>;
  close(): void;
}

export interface Listener {
  close(): Promise<void>;
}

/** Connections between daemons. */
export interface Network {
  connect(address: string, signal?: AbortSignal): Promise<Result<Channel, Failure>>;
  listen(address: string, accept: (channel: Channel) => void): Promise<Result<Listener, Failure>>;
}

/** A flow-controlled stream with which a peer responds to one message. */
export interface PeerStream {
  /** Parts in order. The iteration ends after the last part or a failure. */
  readonly parts: AsyncIterable<Result<Message, Failure>>;
  /** Tells the peer to stop sending parts. */
  cancel(): void;
}

/** Handles a stream request: each yielded message is one part. Ends early when `signal` aborts. */
export type StreamHandler = (
  message: Message,
  from: string,
  signal: AbortSignal,
) => AsyncIterable<Message>;

export type RequestHandler = (message: Message, from: string) => Promise<Message> | Message;

/** Calls between daemons over persistent connections, one per peer address. */
export interface Peers {
  /** Sends a message without waiting for a response; it is dropped if the peer is unreachable. */
  notify(address: string, message: Message): void;
  /** Fails with `unknown` without a response in `timeoutMs`, `unreachable` if nothing was sent. */
  request(address: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>>;
  openStream(
    address: string,
    message: Message,
    signal: AbortSignal,
  ): Promise<Result<PeerStream, Failure>>;
  /** Registers the handler for requests and notifications of a kind. */
  onRequest(kind: string, handler: RequestHandler): void;
  onStream(kind: string, handler: StreamHandler): void;
}
