import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { ShedReport } from './shed-report';
import { UnfinishedRequests } from './unfinished-requests';

export interface ConnectionLimits {
  /** Open connections of all clients together. */
  readonly maxConnections: number;
  /** Open connections of one client address; undefined for no limit. */
  readonly perAddress?: number;
}

/**
 * Limits the connections to a server. At the limit a connection whose request has stalled is closed, or else
 * the one that has waited longest without a request, so clients that connect and send nothing, or not the end
 * of a body, do not keep others out.
 */
export class ConnectionGuard {
  /** Open connections without a request, the one that has waited longest first. */
  private readonly waiting = new Set<Socket>();

  private readonly open = new Map<Socket, string>();

  private readonly counts = new Map<string, number>();

  /** Requests of each connection that are not answered yet; a client may send several in a row. */
  private readonly unanswered = new Map<Socket, number>();

  private readonly unfinished = UnfinishedRequests.create();

  /** Open connections whose requests have all been answered. */
  private readonly answered = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly limits: ConnectionLimits,
    private readonly report: ShedReport,
  ) {}

  /** Begins to guard the connections of `server`. */
  static attach(server: Server, limits: ConnectionLimits, report: ShedReport): ConnectionGuard {
    const guard = new ConnectionGuard(server, limits, report);
    server.on('connection', (socket: Socket) => guard.accept(socket, performance.now()));
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      guard.beginRequest(request, performance.now());
      response.once('close', () => guard.endRequest(request.socket));
    });
    return guard;
  }

  /**
   * Closes the kept connections whose last answer has left this process. `Server.closeIdleConnections` also
   * closes those whose answer is written and not sent yet.
   */
  closeIdle(): void {
    [...this.answered].forEach((socket) => socket.destroy());
  }

  /** Takes no more connections; unlike `Server.close` of HTTP it leaves all open ones alone. */
  stopAccepting(): void {
    NetServer.prototype.close.call(this.server);
  }

  /** Notes that a connection is in use: it has now waited for the shortest time. */
  touch(socket: Socket): void {
    this.waiting.delete(socket);
    if (this.open.has(socket)) this.waiting.add(socket);
  }

  private beginRequest(request: IncomingMessage, now: number): void {
    const { socket } = request;
    this.unfinished.add(request, now);
    this.waiting.delete(socket);
    this.answered.delete(socket);
    this.unanswered.set(socket, (this.unanswered.get(socket) ?? 0) + 1);
  }

  private endRequest(socket: Socket): void {
    this.unfinished.delete(socket);
    const left = (this.unanswered.get(socket) ?? 1) - 1;
    if (left > 0) {
      this.unanswered.set(socket, left);
      return;
    }
    this.unanswered.delete(socket);
    if (!this.open.has(socket)) return;
    this.answered.add(socket);
    this.touch(socket);
  }

  private accept(socket: Socket, now: number): void {
    const address = socket.remoteAddress ?? '';
    const count = (this.counts.get(address) ?? 0) + 1;
    if (count > (this.limits.perAddress ?? Infinity) || !this.makeRoom(now)) {
      this.report.record('connection');
      socket.destroy();
      return;
    }
    this.open.set(socket, address);
    this.waiting.add(socket);
    this.counts.set(address, count);
    socket.once('close', () => this.remove(socket));
  }

  /** Closes a connection if there are too many; false if each is of use to its client. */
  private makeRoom(now: number): boolean {
    if (this.open.size < this.limits.maxConnections) return true;
    const [longestWaiting] = this.waiting;
    const victim = this.unfinished.findStalled(now) ?? longestWaiting;
    if (victim === undefined) return false;
    this.report.record('connection');
    victim.destroy();
    this.remove(victim);
    return true;
  }

  private remove(socket: Socket): void {
    const address = this.open.get(socket);
    if (address === undefined) return;
    this.open.delete(socket);
    this.waiting.delete(socket);
    this.answered.delete(socket);
    this.unanswered.delete(socket);
    this.unfinished.delete(socket);
    const left = (this.counts.get(address) ?? 1) - 1;
    if (left > 0) this.counts.set(address, left);
    else this.counts.delete(address);
  }
}
