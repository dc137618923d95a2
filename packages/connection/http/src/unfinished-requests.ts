import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Bytes that count as progress of a body; less of it may be sent to keep a place. */
const progressBytes = 4_096;

/** Time without progress after which a body counts as stalled, in ms. */
const stallMs = 500;

/** Requests that are looked at to find a stalled one, so that a search has a bound. */
const maxLooks = 64;

interface Progress {
  readonly request: IncomingMessage;
  /** Bytes of the connection at the last progress, and its time. */
  readonly bytes: number;
  readonly at: number;
}

/** Requests whose bodies are still coming, those without progress for the longest time first. */
export class UnfinishedRequests {
  private readonly bySocket = new Map<Socket, Progress>();

  private constructor() {}

  static create(): UnfinishedRequests {
    return new UnfinishedRequests();
  }

  add(request: IncomingMessage, now: number): void {
    const { socket } = request;
    this.bySocket.set(socket, { request, bytes: socket.bytesRead, at: now });
  }

  delete(socket: Socket): void {
    this.bySocket.delete(socket);
  }

  /** A connection whose request has stalled; undefined if none of the oldest has. */
  findStalled(now: number): Socket | undefined {
    let looksLeft = maxLooks;
    for (const socket of this.bySocket.keys()) {
      if (this.isStalled(socket, now)) return socket;
      looksLeft -= 1;
      if (looksLeft === 0) return undefined;
    }
    return undefined;
  }

  /** Forgets a request that is complete, and puts one that has made progress last. */
  private isStalled(socket: Socket, now: number): boolean {
    const progress = this.bySocket.get(socket);
    if (progress === undefined) return false;
    const { request, bytes, at } = progress;
    if (!request.complete && socket.bytesRead - bytes < progressBytes) return now - at >= stallMs;
    this.bySocket.delete(socket);
    if (!request.complete) this.add(request, now);
    return false;
  }
}
