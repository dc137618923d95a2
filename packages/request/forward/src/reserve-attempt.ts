import type { SelectedEndpoint } from './endpoint-selection';

/** An attempt at a reservation found no endpoint for a reason other than a lack of room. */
export const notQueued = 'not_queued';

/** The endpoints that the request at the head of a queue may be sent to at present. */
export type RoomLevel =
  /** Those known to have room. */
  | 'free'
  /** Also those whose load is not known. */
  | 'unknown'
  /** All whose memory holds the request. */
  | 'any';

/** Reserves a place for a request; undefined if no endpoint has room. */
export type ReserveAttempt = (
  now: number,
  level: RoomLevel,
) => SelectedEndpoint | typeof notQueued | undefined;
