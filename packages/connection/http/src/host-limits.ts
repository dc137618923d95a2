import { getHeapStatistics } from 'node:v8';

/** Limits of the host as its settings state them. */
export interface HostLimits {
  /** Memory that the process may use, in MB. */
  readonly memoryMb?: number;
  /** File descriptors that the process may have open. */
  readonly maxFds?: number;
  /** Connections to one port that a client address may have open; undefined for no limit. */
  readonly connectionsPerAddress?: number;
}

/** Shares of the limits of a host. */
export interface HostShares {
  /** Memory for what is held on behalf of clients and peers, in bytes. */
  readonly heldBytes: number;
  /** Connections to the port for clients, to the one for peers and to each other one. */
  readonly clientConnections: number;
  readonly peerConnections: number;
  readonly statusConnections: number;
}

const bytesPerMb = 1_048_576;

/** Limits where the settings state none. */
const defaultMemoryMb = 512;
const defaultMaxFds = 16_384;

/** Largest share of the memory that is left to the heap. */
const maxHeapShare = 0.75;

/** Share of the memory beside the heap for held bytes; code, copies and freed buffers take the rest. */
const heldShare = 1 / 3;

/** Descriptors for files, and shares of the others; the rest is for connections to endpoints. */
const fileDescriptors = 200;
const clientShare = 0.375;
const peerShare = 0.25;
const statusShare = 0.02;

/** Shares of a host's limits; `heapBytes` is the limit of the process's heap. */
export const sharesOf = (
  { memoryMb = defaultMemoryMb, maxFds = defaultMaxFds }: HostLimits,
  heapBytes = getHeapStatistics().heap_size_limit,
): HostShares => {
  const memoryBytes = memoryMb * bytesPerMb;
  const besideHeap = memoryBytes - Math.min(heapBytes, memoryBytes * maxHeapShare);
  const sockets = Math.max(0, maxFds - fileDescriptors);
  const connections = (share: number) => Math.max(1, Math.floor(sockets * share));
  return {
    heldBytes: Math.floor(besideHeap * heldShare),
    clientConnections: connections(clientShare),
    peerConnections: connections(peerShare),
    statusConnections: connections(statusShare),
  };
};
