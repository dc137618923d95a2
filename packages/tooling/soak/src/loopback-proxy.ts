import { connect, createServer, type Server, type Socket } from 'node:net';
import { reportResets } from '@currantdrift/http';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/** A TCP proxy on a loopback address whose connections can be disturbed. */
export class LoopbackProxy {
  private readonly pairs = new Set<Pair>();

  private delayMs = 0;

  private blocked = { toFar: false, toNear: false };

  private refusing = false;

  private constructor(
    private readonly server: Server,
    private readonly target: { readonly host: string; readonly port: number },
  ) {}

  /** Rejects if the address is taken. */
  static listen(
    host: string,
    port: number,
    target: { readonly host: string; readonly port: number },
  ): Promise<LoopbackProxy> {
    const server = createServer({ allowHalfOpen: true });
    const proxy = new LoopbackProxy(server, target);
    server.on('connection', (near) => proxy.accept(near));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve(proxy));
    });
  }

  /** Delays each piece by `ms`. */
  delay(ms: number): void {
    this.delayMs = ms;
  }

  /** Holds back what is sent one way or both ways, as a cut link does; it arrives after the end. */
  block(toFar: boolean, toNear: boolean): void {
    this.blocked = { toFar, toNear };
    this.pairs.forEach((pair) => this.applyBlock(pair));
  }

  /** Resets new connections. */
  refuse(refusing: boolean): void {
    this.refusing = refusing;
  }

  /** Resets open connections. */
  reset(): void {
    this.pairs.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far.destroy();
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.pairs.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
    });
  }

  private accept(near: Socket): void {
    if (this.refusing) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ ...this.target, allowHalfOpen: true });
    const pair = { near, far };
    this.pairs.add(pair);
    [near, far].forEach(reportResets);
    this.relay(near, far);
    this.relay(far, near);
    this.applyBlock(pair);
    [near, far].forEach((socket) =>
      socket.on('close', (hasFailed) => {
        // A failed side resets the other one, once that has what came before.
        if (hasFailed && !(near.destroyed && far.destroyed)) return;
        this.pairs.delete(pair);
        near.destroy();
        far.destroy();
      }),
    );
  }

  private relay(from: Socket, to: Socket): void {
    const waiting: (() => unknown)[] = [];
    // What follows a delayed piece waits behind it, also once the delay is over.
    const later = (pass: () => unknown) => {
      if (this.delayMs === 0 && waiting.length === 0) {
        pass();
        return;
      }
      waiting.push(pass);
      setTimeout(() => waiting.shift()?.(), this.delayMs);
    };
    // Node would end a connection in order that it resets while data waits to be sent.
    const reset = () => to.write('', () => to.resetAndDestroy());
    from.on('error', () => (to.connecting || !to.writable ? to.destroy() : reset()));
    from.on('data', (piece: Buffer) => later(() => to.writable && to.write(piece)));
    from.on('end', () => later(() => to.end()));
  }

  private applyBlock({ near, far }: Pair): void {
    if (this.blocked.toFar) near.pause();
    else near.resume();
    if (this.blocked.toNear) far.pause();
    else far.resume();
  }
}
