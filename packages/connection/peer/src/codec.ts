import type { Message } from '@currantdrift/core';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';

// Records with structures shared over a connection save the key names, but a peer that sends many
// shapes fills the tables of the other side. Plain maps with short keys keep no state.
const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

export const encodeMessage = (message: Message): Buffer => packr.pack(message);

/** Fails with a description if `bytes` are not one message. */
export const decodeMessage = (bytes: Uint8Array): Result<Message, string> => {
  try {
    const value: unknown = packr.unpack(bytes);
    const kind = typeof value === 'object' && value !== null ? (value as Message).kind : undefined;
    return typeof kind === 'string' ? ok(value as Message) : err('the message has no kind');
  } catch (error) {
    return err(`the message is not MessagePack: ${String(error)}`);
  }
};
