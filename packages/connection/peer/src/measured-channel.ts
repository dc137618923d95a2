import type { Channel } from '@currantdrift/core';

/** A channel that tells the size of what it carries; flow control and traffic counters use it. */
export interface MeasuredChannel extends Channel {
  /** Encoded size of the last message handed to `send`, in bytes, also if it was too large. */
  readonly lastSentBytes: number;
  /** Encoded size of the message that the iteration gave last, in bytes. */
  readonly lastReceivedBytes: number;
}

/** Size assumed for a message of a channel that does not measure, in bytes. */
const assumedBytes = 512;

/** Size of the last message sent on `channel`, in bytes. */
export const sentBytes = (channel: Channel): number =>
  (channel as Partial<MeasuredChannel>).lastSentBytes ?? assumedBytes;

/** Size of the last message received on `channel`, in bytes. */
export const receivedBytes = (channel: Channel): number =>
  (channel as Partial<MeasuredChannel>).lastReceivedBytes ?? assumedBytes;
