import type { Failure, Peers } from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** Calls between daemons, with a way to find out whether a new connection works. */
export interface ProbingPeers extends Peers {
  /** Opens a new connection and shows within `timeoutMs` that the peer answers on it. */
  reconnect(address: string, timeoutMs: number): Promise<Result<void, Failure>>;
}
