import {
  type Channel,
  type Clock,
  type Failure,
  FailureKind,
  type Listener,
  type Message,
  type Network,
  type Peers,
  type PeerStream,
  type RequestHandler,
  NoopTelemetry,
  type StreamHandler,
  type Telemetry,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { Connection, type ConnectionContext } from './connection';
import type { Stamp } from './frame';
import { defaultPeerSettings, type PeerSettings } from './peer-settings';
import { type PeerTraffic, TrafficCounter } from './traffic';

export interface PeerOptions {
  readonly network: Network;
  readonly clock: Clock;
  /** `ip:port` on which this process listens; peers know it by this address. */
  readonly address: string;
  readonly telemetry?: Telemetry;
  readonly settings?: Partial<PeerSettings>;
  /** Fields that go with what is sent; sent again on a connection only when they change. */
  readonly stamp?: () => Stamp | undefined;
  /** Called with the peer's fields for each message other than parts of a stream. */
  readonly onStamp?: (stamp: Stamp, from: string) => void;
  /** For tests: never tries a fresh connection while an old one is open. */
  readonly trustsOldConnections?: boolean;
}

/** Request kind that every process answers; shows that a connection works. */
const pingKind = 'peer.ping';

/** Time between two rounds over all connections, in ms. */
const tendMs = 500;

/** A round that is later than this was held up by a pause of this process, in ms. */
const pauseMs = 1000;

/** Calls between daemons over one kept connection for each peer address. */
export class PeerConnections implements Peers {
  private readonly kept = new Map<string, Connection>();

  private readonly connections = new Set<Connection>();

  private readonly dials = new Map<string, Promise<Result<Connection, Failure>>>();

  private readonly requestHandlers = new Map<string, RequestHandler>();

  private readonly streamHandlers = new Map<string, StreamHandler>();

  private readonly control = new TrafficCounter();

  private readonly data = new TrafficCounter();

  private readonly settings: PeerSettings;

  private readonly telemetry: Telemetry;

  private readonly context: ConnectionContext;

  private readonly stopped = new AbortController();

  private listener: Listener | undefined;

  private constructor(private readonly options: PeerOptions) {
    this.settings = { ...defaultPeerSettings, ...options.settings };
    this.telemetry = options.telemetry ?? NoopTelemetry.create();
    this.context = {
      clock: options.clock,
      settings: this.settings,
      requestHandlers: this.requestHandlers,
      streamHandlers: this.streamHandlers,
      control: this.control,
      data: this.data,
      stamp: options.stamp ?? (() => undefined),
      onStamp: options.onStamp ?? (() => {}),
      onName: (connection) => this.keep(connection),
    };
    this.onRequest(pingKind, () => ({ kind: 'ok' }));
  }

  static create(options: PeerOptions): PeerConnections {
    return new PeerConnections(options);
  }

  /** Listens for peers. Calls to peers work with or without it. */
  async listen(): Promise<Result<void, Failure>> {
    const listening = await this.options.network.listen(this.options.address, (channel) => {
      if (this.stopped.signal.aborted) channel.close();
      else this.add(channel);
    });
    if (listening.isErr()) return err(listening.error);
    this.listener = listening.value;
    return ok(undefined);
  }

  /** Stops listening, lets open calls end for up to `graceMs`, and closes all connections. */
  async close(graceMs = 0): Promise<void> {
    const { clock } = this.options;
    const end = clock.now() + graceMs;
    this.connections.forEach((connection) => connection.retire(clock.now()));
    while (clock.now() < end && [...this.connections].some(({ inUse }) => inUse)) {
      await clock.sleep(Math.min(100, end - clock.now()));
    }
    this.stopped.abort();
    this.connections.forEach((connection) => connection.end('this process stops'));
    await this.listener?.close();
  }

  /** What was sent and received since the start. */
  get traffic(): PeerTraffic {
    return { control: this.control.read(), data: this.data.read() };
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.requestHandlers.set(kind, handler);
  }

  onStream(kind: string, handler: StreamHandler): void {
    this.streamHandlers.set(kind, handler);
  }

  notify(address: string, message: Message): void {
    this.connection(address).then(
      (found) => found.isOk() && found.value.notify(message),
      () => {},
    );
  }

  async request(
    address: string,
    message: Message,
    timeoutMs: number,
  ): Promise<Result<Message, Failure>> {
    const deadline = this.options.clock.now() + timeoutMs;
    const found = await this.within(this.connection(address), address, timeoutMs);
    if (found.isErr()) return err(found.error);
    return found.value.request(message, Math.max(0, deadline - this.options.clock.now()));
  }

  async openStream(
    address: string,
    message: Message,
    signal: AbortSignal,
  ): Promise<Result<PeerStream, Failure>> {
    const found = await this.connection(address);
    if (found.isErr()) return err(found.error);
    if (signal.aborted) {
      return err(this.failure('openStream', address, 'cancelled before it was sent'));
    }
    return found.value.openStream(message, signal);
  }

  /**
   * Opens a new connection, shows that it works and keeps it in place of the old one. Calls on the
   * old connection go on. Fails if the peer gives no answer in `timeoutMs`.
   */
  async reconnect(address: string, timeoutMs: number): Promise<Result<void, Failure>> {
    const deadline = this.options.clock.now() + timeoutMs;
    const dialled = await this.within(this.dial(address), address, timeoutMs);
    if (dialled.isErr()) return err(dialled.error);
    const left = Math.max(0, deadline - this.options.clock.now());
    const answer = await dialled.value.request({ kind: pingKind }, left);
    return answer.map(() => undefined);
  }

  private async connection(address: string): Promise<Result<Connection, Failure>> {
    const kept = this.kept.get(address);
    const now = this.options.clock.now();
    const usable =
      kept !== undefined &&
      !kept.ended &&
      (this.options.trustsOldConnections === true || !kept.isDoubtful(now));
    return usable ? ok(kept) : this.dial(address);
  }

  private dial(address: string): Promise<Result<Connection, Failure>> {
    const current = this.dials.get(address);
    if (current !== undefined) return current;
    const dialled = this.dialOnce(address).finally(() => this.dials.delete(address));
    this.dials.set(address, dialled);
    return dialled;
  }

  private async dialOnce(address: string): Promise<Result<Connection, Failure>> {
    if (this.stopped.signal.aborted) {
      return err(this.failure('connect', address, 'this process stops'));
    }
    const { clock, network } = this.options;
    const attempt = new AbortController();
    const done = new AbortController();
    clock.sleep(this.settings.connectTimeoutMs, done.signal).then(() => {
      if (!done.signal.aborted) attempt.abort();
    });
    const connected = await network.connect(address, attempt.signal);
    done.abort(null);
    if (connected.isErr()) return err(connected.error);
    const connection = this.add(connected.value, this.options.address);
    this.keep(connection);
    return ok(connection);
  }

  private add(channel: Channel, own?: string): Connection {
    const connection = Connection.create(channel, this.context, own);
    const first = this.connections.size === 0;
    this.connections.add(connection);
    connection
      .run()
      .catch((error: unknown) => connection.end(`the connection failed: ${String(error)}`))
      .finally(() => this.remove(connection));
    if (first) this.tend().catch(() => {});
    return connection;
  }

  /** Keeps the newest connection to a peer; an older one ends when its calls have ended. */
  private keep(connection: Connection): void {
    const old = this.kept.get(connection.peer);
    this.kept.set(connection.peer, connection);
    if (old !== undefined && old !== connection) old.retire(this.options.clock.now());
  }

  private remove(connection: Connection): void {
    this.connections.delete(connection);
    if (this.kept.get(connection.peer) === connection) this.kept.delete(connection.peer);
    this.telemetry.gauge('peer_connections', this.connections.size);
  }

  /** Task that looks after all connections while there are any. */
  private async tend(): Promise<void> {
    const { clock } = this.options;
    let last = clock.now();
    while (this.connections.size > 0) {
      await clock.sleep(tendMs, this.stopped.signal);
      if (this.stopped.signal.aborted) return;
      const now = clock.now();
      if (now - last > tendMs + pauseMs) this.connections.forEach((each) => each.excuse(now));
      last = now;
      this.connections.forEach((connection) => connection.tend(now));
    }
  }

  private async within(
    attempt: Promise<Result<Connection, Failure>>,
    address: string,
    timeoutMs: number,
  ): Promise<Result<Connection, Failure>> {
    const done = new AbortController();
    const late = this.options.clock
      .sleep(timeoutMs, done.signal)
      .then(() => err(this.failure('connect', address, `no connection in ${timeoutMs} ms`)));
    const result = await Promise.race([attempt, late]);
    done.abort(null);
    return result;
  }

  private failure(step: string, peer: string, message: string): Failure {
    return { kind: FailureKind.unreachable, step: `peer.${step}`, peer, message };
  }
}
