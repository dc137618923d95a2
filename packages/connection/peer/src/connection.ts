import {
  type Channel,
  type Clock,
  type Failure,
  FailureKind,
  type Message,
  type PeerStream,
  type RequestHandler,
  type StreamHandler,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { type Frame, isStreamFrame, type Stamp } from './frame';
import { IncomingStream } from './incoming-stream';
import { receivedBytes, sentBytes } from './measured-channel';
import { OutgoingStream, type Written } from './outgoing-stream';
import type { PeerSettings } from './peer-settings';
import type { TrafficCounter } from './traffic';

/** What the connections of a process share. */
export interface ConnectionContext {
  readonly clock: Clock;
  readonly settings: PeerSettings;
  readonly requestHandlers: ReadonlyMap<string, RequestHandler>;
  readonly streamHandlers: ReadonlyMap<string, StreamHandler>;
  readonly control: TrafficCounter;
  readonly data: TrafficCounter;
  readonly stamp: () => Stamp | undefined;
  readonly onStamp: (stamp: Stamp, from: string) => void;
  /** Called when the other side has said on which address it listens. */
  readonly onName: (connection: Connection) => void;
}

/** A call to the peer that has not ended. */
type Call =
  | { readonly kind: 'request'; readonly settle: (result: Result<Message, Failure>) => void }
  | { readonly kind: 'stream'; readonly stream: IncomingStream };

const sameStamp = (a: Stamp | undefined, b: Stamp): boolean => {
  if (a === undefined) return false;
  const keys = Object.keys(b);
  return keys.length === Object.keys(a).length && keys.every((key) => a[key] === b[key]);
};

/** Calls in both directions over one channel. `run` is its task. */
export class Connection {
  /** Address that the peer listens on, once known; until then the channel's address. */
  peer: string;

  /** Time of the last message from the peer, in ms since the epoch. */
  lastHeardAt: number;

  /** Start of the present silence: no earlier than the start of the present use. */
  quietSince: number;

  lastUsedAt: number;

  /** Time at which this side said that it starts nothing more, in ms since the epoch. */
  byeSentAt: number | undefined;

  byeReceived = false;

  ended = false;

  private doubted = false;

  /** Time of the last notification; it has no answer, so only heartbeats show that it arrives. */
  private notifiedAt = -Infinity;

  private lastHeartbeatAt = 0;

  private callCount = 0;

  private readonly calls = new Map<number, Call>();

  private readonly served = new Map<number, OutgoingStream>();

  private serving = 0;

  private sentStamp: Stamp | undefined;

  private heardStamp: Stamp | undefined;

  private constructor(
    private readonly channel: Channel,
    private readonly context: ConnectionContext,
    /** Address of this side when it dialled. */
    private readonly own: string | undefined,
  ) {
    const now = context.clock.now();
    this.peer = channel.address;
    this.lastHeardAt = now;
    this.quietSince = now;
    this.lastUsedAt = now;
  }

  /** `own` is the address that the dialling side listens on; undefined on the accepting side. */
  static create(channel: Channel, context: ConnectionContext, own?: string): Connection {
    return new Connection(channel, context, own);
  }

  /** Serves the channel until it closes. */
  async run(): Promise<void> {
    if (this.own !== undefined) this.write({ kind: 'hi', a: this.own });
    for await (const message of this.channel.messages) {
      const bytes = receivedBytes(this.channel);
      const counter = isStreamFrame(message) ? this.context.data : this.context.control;
      counter.countIn(bytes);
      this.heard();
      this.receive(message as Frame, bytes);
    }
    this.end('the connection closed');
  }

  /** Tells whether a call in either direction is open. */
  get inUse(): boolean {
    return this.calls.size > 0 || this.served.size > 0 || this.serving > 0;
  }

  /** Tells whether new calls should first try another connection. */
  isDoubtful(now: number): boolean {
    const silent = this.expectsSigns(now) && now - this.quietSince >= this.context.settings.doubtMs;
    return this.ended || this.byeReceived || this.byeSentAt !== undefined || this.doubted || silent;
  }

  request(message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    const sentAt = this.context.clock.now();
    return new Promise((resolve) => {
      const timer = new AbortController();
      const id = this.open({
        kind: 'request',
        settle: (result) => {
          timer.abort(null);
          resolve(result);
        },
      });
      const problem =
        this.congestion() ?? this.problem(this.write({ kind: 'q', i: id, m: message }));
      if (problem !== undefined) {
        this.settle(id, err(this.failure(message.kind, FailureKind.unreachable, problem)));
        return;
      }
      this.context.clock.sleep(timeoutMs, timer.signal).then(() => {
        if (!this.calls.has(id)) return;
        if (this.lastHeardAt <= sentAt) this.doubted = true;
        const text = `no answer in ${timeoutMs} ms`;
        this.settle(id, err(this.failure(message.kind, FailureKind.unknown, text)));
      });
    });
  }

  notify(message: Message): boolean {
    this.beginUse();
    this.notifiedAt = this.context.clock.now();
    return this.congestion() === undefined && this.write({ kind: 'n', m: message }) === 'sent';
  }

  openStream(message: Message, signal: AbortSignal): Result<PeerStream, Failure> {
    const { windowBytes } = this.context.settings;
    let id = 0;
    const stream = IncomingStream.create(
      {
        grant: (bytes) => {
          this.write({ kind: 'c', i: id, b: bytes });
        },
        cancel: () => {
          if (this.close(id)) this.write({ kind: 'x', i: id });
        },
      },
      windowBytes,
      signal,
    );
    id = this.open({ kind: 'stream', stream });
    const problem =
      this.congestion() ??
      this.problem(this.write({ kind: 'o', i: id, w: windowBytes, m: message }));
    if (problem !== undefined) {
      this.close(id);
      stream.finish();
      return err(this.failure(message.kind, FailureKind.unreachable, problem));
    }
    return ok(stream);
  }

  /** Regular work: heartbeats and the end of dead, idle and retired connections. */
  tend(now: number): void {
    const { settings } = this.context;
    if (this.ended) return;
    if (this.byeSentAt !== undefined) {
      const agreed = this.byeReceived && !this.inUse;
      const overdue = !this.inUse && now - this.byeSentAt >= settings.deadMs;
      if (agreed || overdue) {
        this.end('the connection was retired');
        return;
      }
    } else if (!this.inUse && (this.byeReceived || now - this.lastUsedAt >= settings.idleMs)) {
      this.retire(now);
    }
    if (!this.expectsSigns(now)) return;
    if (now - this.quietSince >= settings.deadMs) {
      this.end(`the peer was silent for ${settings.deadMs} ms`);
    } else if (
      now - this.quietSince >= settings.heartbeatMs &&
      now - this.lastHeartbeatAt >= settings.heartbeatMs
    ) {
      this.lastHeartbeatAt = now;
      this.write({ kind: 'h' });
    }
  }

  /** Starts the present silence anew: this process did not run and cannot judge the peer. */
  excuse(now: number): void {
    this.quietSince = now;
  }

  /** Starts nothing more on this connection; it closes when the calls on it have ended. */
  retire(now: number): void {
    if (this.byeSentAt !== undefined || this.ended) return;
    this.byeSentAt = now;
    this.write({ kind: 'bye' });
  }

  /** Closes at once. Calls that have not ended fail as `unknown`: they were sent. */
  end(reason: string): void {
    if (this.ended) return;
    this.ended = true;
    this.channel.close();
    [...this.calls].forEach(([id, call]) => {
      const failure = this.failure('connection', FailureKind.unknown, reason);
      this.close(id);
      if (call.kind === 'request') call.settle(err(failure));
      else call.stream.finish(failure);
    });
    this.served.forEach((stream) => stream.cancel());
    this.served.clear();
  }

  private receive(frame: Frame, bytes: number): void {
    this.takeStamp(frame);
    switch (frame.kind) {
      case 'hi':
        this.peer = frame.a;
        this.context.onName(this);
        break;
      case 'n':
        this.lastUsedAt = this.lastHeardAt;
        this.handle(frame.m).catch(() => {});
        break;
      case 'q':
        this.answer(frame.i, frame.m).catch(() => {});
        break;
      case 'a':
        this.settle(frame.i, ok(frame.m));
        break;
      case 'e':
        this.fail(frame.i, frame.k, frame.t);
        break;
      case 'o':
        this.serve(frame.i, frame.w, frame.m).catch(() => {});
        break;
      case 's':
        this.takeParts(frame.i, frame.p, bytes, frame.z === true);
        break;
      case 'c':
        this.served.get(frame.i)?.grant(frame.b);
        break;
      case 'x':
        this.served.get(frame.i)?.cancel();
        this.served.delete(frame.i);
        break;
      case 'h':
        if (frame.r !== true) this.write({ kind: 'h', r: true });
        break;
      case 'bye':
        this.byeReceived = true;
        break;
      default:
        // A frame of a later version; the peer learns nothing by a closed connection.
        break;
    }
  }

  private async handle(message: Message): Promise<Result<Message, Failure>> {
    const handler = this.context.requestHandlers.get(message.kind);
    const fail = (kind: FailureKind, text: string) => err(this.failure(message.kind, kind, text));
    if (handler === undefined) {
      return fail(FailureKind.refused, `requests of kind ${message.kind} are not served here`);
    }
    try {
      return ok(await handler(message, this.peer));
    } catch (error) {
      return fail(FailureKind.unknown, `the handler failed: ${String(error)}`);
    }
  }

  private async answer(id: number, message: Message): Promise<void> {
    this.beginUse();
    this.serving += 1;
    const result = await this.handle(message);
    this.serving -= 1;
    this.lastUsedAt = this.context.clock.now();
    if (result.isErr()) {
      this.write({ kind: 'e', i: id, k: result.error.kind, t: result.error.message });
    } else if (this.write({ kind: 'a', i: id, m: result.value }) === 'too_large') {
      const text = `the answer of ${sentBytes(this.channel)} bytes is larger than allowed`;
      this.write({ kind: 'e', i: id, k: FailureKind.unknown, t: text });
    }
  }

  private async serve(id: number, credit: number, message: Message): Promise<void> {
    const handler = this.context.streamHandlers.get(message.kind);
    if (handler === undefined) {
      const text = `streams of kind ${message.kind} are not served here`;
      this.write({ kind: 'e', i: id, k: FailureKind.refused, t: text });
      return;
    }
    const stream = OutgoingStream.create(
      {
        parts: (parts, last) => {
          const written = this.write(
            last ? { kind: 's', i: id, p: parts, z: true } : { kind: 's', i: id, p: parts },
          );
          return { written, bytes: sentBytes(this.channel) };
        },
        fail: (kind, text) => {
          this.write({ kind: 'e', i: id, k: kind, t: text });
        },
      },
      credit,
    );
    this.beginUse();
    this.served.set(id, stream);
    await stream.run(handler(message, this.peer, stream.cancellation.signal));
    this.served.delete(id);
    this.lastUsedAt = this.context.clock.now();
  }

  private takeParts(id: number, parts: readonly Message[], bytes: number, last: boolean): void {
    const call = this.calls.get(id);
    // Parts that were on their way when the stream was cancelled are dropped.
    if (call?.kind !== 'stream') return;
    call.stream.receive(parts, bytes);
    if (!last) return;
    this.close(id);
    call.stream.finish();
  }

  private fail(id: number, kind: FailureKind, text: string): void {
    const call = this.calls.get(id);
    const failure = this.failure('peer', kind, text);
    if (call?.kind === 'request') this.settle(id, err(failure));
    if (call?.kind !== 'stream') return;
    this.close(id);
    call.stream.finish(failure);
  }

  private open(call: Call): number {
    this.beginUse();
    this.callCount += 1;
    this.calls.set(this.callCount, call);
    return this.callCount;
  }

  private close(id: number): boolean {
    this.lastUsedAt = this.context.clock.now();
    return this.calls.delete(id);
  }

  private settle(id: number, result: Result<Message, Failure>): void {
    const call = this.calls.get(id);
    if (call?.kind !== 'request') return;
    this.close(id);
    call.settle(result);
  }

  private beginUse(): void {
    const now = this.context.clock.now();
    if (!this.expectsSigns(now)) this.quietSince = Math.max(this.quietSince, now);
    this.lastUsedAt = now;
  }

  /** Whether silence of the peer says something. */
  private expectsSigns(now: number): boolean {
    return this.inUse || now - this.notifiedAt < this.context.settings.deadMs;
  }

  private heard(): void {
    this.lastHeardAt = this.context.clock.now();
    this.quietSince = this.lastHeardAt;
    this.doubted = false;
  }

  private congestion(): string | undefined {
    const { bufferedBytes } = this.channel;
    return bufferedBytes > this.context.settings.maxBufferedBytes
      ? `${bufferedBytes} bytes are waiting to be sent`
      : undefined;
  }

  private problem(written: Written): string | undefined {
    if (written === 'sent') return undefined;
    return written === 'closed'
      ? 'the connection closed'
      : `the message of ${sentBytes(this.channel)} bytes is larger than allowed`;
  }

  private write(frame: Frame): Written {
    if (this.ended) return 'closed';
    const stamp = this.context.stamp();
    const stamped = stamp !== undefined && !sameStamp(this.sentStamp, stamp);
    if (!this.channel.send(stamped ? { ...frame, v: stamp } : frame)) return 'too_large';
    if (stamped) this.sentStamp = stamp;
    const counter = isStreamFrame(frame) ? this.context.data : this.context.control;
    counter.countOut(sentBytes(this.channel));
    return 'sent';
  }

  /**
   * A connection keeps order, so a stamp holds for all messages until the next one; it is told
   * again with each message that is not a part of a stream.
   */
  private takeStamp(frame: Frame): void {
    if (frame.v !== undefined) this.heardStamp = frame.v;
    const repeats = frame.kind !== 's' && frame.kind !== 'c';
    if (this.heardStamp !== undefined && (repeats || frame.v !== undefined)) {
      this.context.onStamp(this.heardStamp, this.peer);
    }
  }

  private failure(step: string, kind: FailureKind, message: string): Failure {
    return { kind, step: `peer.${step}`, peer: this.peer, message };
  }
}
