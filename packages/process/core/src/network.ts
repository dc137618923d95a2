import type { Result } from 'neverthrow';
import type { Failure } from './failure';

/** A message between daemons. Fields hold numbers, strings, booleans, bytes, arrays and objects. */
export interface Message {
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** An open connection to a peer. Messages arrive in order or the channel closes. */
export interface Channel {
  /** `ip:port` of the other side as it was dialled, or as it was accepted. */
  readonly address: string;
  /** False if the channel is closed; true says nothing about delivery. */
  send(message: Message): boolean;
  /** Bytes handed to `send` that have not left this process. */
  readonly bufferedBytes: number;
  /** Messages of the other side; the iteration ends when the channel closes. */
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

/** A flow-controlled stream from a peer that answers one message. */
export interface PeerStream {
  /** Parts in order. The iteration ends after the last part or after a failure. */
  readonly parts: AsyncIterable<Result<Message, Failure>>;
  /** Tells the peer that no more parts are wanted. */
  cancel(): void;
}

/** Answers a stream request: each yielded message is one part. Ends early when `signal` aborts. */
export type StreamHandler = (
  message: Message,
  from: string,
  signal: AbortSignal,
) => AsyncIterable<Message>;

export type RequestHandler = (message: Message, from: string) => Promise<Message> | Message;

/** Calls between daemons over kept connections, one per peer address. */
export interface Peers {
  /** Sends without an answer; dropped if the peer cannot be reached. */
  notify(address: string, message: Message): void;
  /** `unknown` when no answer came in `timeoutMs`, `unreachable` when nothing was sent. */
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
