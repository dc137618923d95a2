import type { Failure, Peers } from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** Peer connections that can also be reopened to check whether a peer still answers. */
export interface ReconnectablePeers extends Peers {
  /** Opens a new connection and checks within `timeoutMs` that the peer answers on it. */
  reconnect(address: string, timeoutMs: number): Promise<Result<void, Failure>>;
}
