import type { FailureKind, Message } from '@currantdrift/core';

/** Fields that go along with messages of a connection, such as the sender's bundle version. */
export type Stamp = Readonly<Record<string, unknown>>;

/** What a connection carries. Keys are short because every frame spells them out. */
export type Frame = Message & { readonly v?: Stamp } & (
    | /** First frame of the side that dialled; `a` is the address that it listens on. */
      { readonly kind: 'hi'; readonly a: string }
    | { readonly kind: 'n'; readonly m: Message }
    | { readonly kind: 'q'; readonly i: number; readonly m: Message }
    | {
        readonly kind: 'a';
        readonly i: number;
        readonly m: Message;
      } /** Failure of a request or end of a stream by a failure. */
    | {
        readonly kind: 'e';
        readonly i: number;
        readonly k: FailureKind;
        readonly t: string;
      } /** Opens a stream; `w` is the number of bytes that may come before the first credit. */
    | {
        readonly kind: 'o';
        readonly i: number;
        readonly w: number;
        readonly m: Message;
      } /** Parts of a stream; `z` marks the last ones. */
    | {
        readonly kind: 's';
        readonly i: number;
        readonly p: readonly Message[];
        readonly z?: true;
      } /** Credit for `b` more bytes of a stream. */
    | { readonly kind: 'c'; readonly i: number; readonly b: number } /** Cancels a stream. */
    | { readonly kind: 'x'; readonly i: number } /** Heartbeat; `r` marks the reply. */
    | {
        readonly kind: 'h';
        readonly r?: true;
      } /** The sender starts nothing more on this connection. */
    | { readonly kind: 'bye' }
  );

const streamFrames: ReadonlySet<string> = new Set(['o', 's', 'c', 'x']);

/** Tells whether a frame belongs to a stream, and so counts as data. */
export const isStreamFrame = (frame: Message): boolean => streamFrames.has(frame.kind);
