/* eslint-disable max-classes-per-file -- a channel of the fake is of no use without its network */
import {
  type Channel,
  type Clock,
  type Failure,
  FailureKind,
  type Listener,
  type Message,
  type Network,
  type Random,
  SeededRandom,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';

/** Traffic of one address; sizes are estimated by JSON length. */
export interface Traffic {
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly messagesIn: number;
  readonly messagesOut: number;
}

export interface MemoryNetworkOptions {
  /** One-way latency of pairs without one of their own, in ms. */
  readonly latencyMs: number;
  /** Time after which a connection attempt that gets no reply fails, in ms. */
  readonly connectTimeoutMs: number;
  /** Decides which messages a lossy pair loses. */
  readonly random: Random;
}

interface Arrival {
  readonly message: Message;
  readonly bytes: number;
}

/** Bytes of a message; byte fields count with their length. */
const estimateBytes = (message: Message): number => {
  let raw = 0;
  const text = JSON.stringify(message, (_key, value: unknown) => {
    if (!(value instanceof Uint8Array)) return value;
    raw += value.length;
    return null;
  });
  return text.length + raw;
};

const pairKey = (from: string, to: string) => `${from}>${to}`;

/** A process on the network: whether it is paused, and what waits for it to resume. */
class Station {
  paused = false;

  private waiting: (() => void)[] = [];

  readonly channels = new Set<MemoryChannel>();

  traffic: Traffic = { bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 };

  accept: ((channel: Channel) => void) | undefined;

  /** Runs `action` now, or in order at the end of the pause. */
  whenRunning(action: () => void): void {
    if (this.paused) this.waiting.push(action);
    else action();
  }

  resumed(): Promise<void> {
    return new Promise((resolve) => {
      this.whenRunning(resolve);
    });
  }

  resume(): void {
    this.paused = false;
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((action) => action());
  }
}

/** One end of a connection of a `MemoryNetwork`. */
class MemoryChannel implements Channel {
  /** Size of the last message handed to `send`, in bytes. */
  lastSentBytes = 0;

  /** Size of the message that the iteration gave last, in bytes. */
  lastReceivedBytes = 0;

  readonly bufferedBytes = 0;

  /** Nothing that this end sends arrives any more. */
  silent = false;

  other: MemoryChannel | undefined;

  private closed = false;

  private readonly arrivals: Arrival[] = [];

  private wake: () => void = () => {};

  constructor(
    readonly owner: string,
    readonly address: string,
    private readonly network: MemoryNetwork,
  ) {}

  send(message: Message): boolean {
    if (this.closed) return false;
    this.lastSentBytes = estimateBytes(message);
    // The copy keeps one process from changing what another one received.
    this.network.carry(this, { message: structuredClone(message), bytes: this.lastSentBytes });
    return true;
  }

  get messages(): AsyncIterable<Message> {
    return this.read();
  }

  close(): void {
    if (this.closed) return;
    this.end();
    this.network.carryClose(this);
  }

  arrive(arrival: Arrival): void {
    if (this.closed) return;
    this.arrivals.push(arrival);
    this.wake();
  }

  /** Ends this side without telling the other one. */
  end(): void {
    this.closed = true;
    this.network.forget(this);
    this.wake();
  }

  private async *read(): AsyncGenerator<Message> {
    for (;;) {
      const next = this.arrivals.shift();
      if (next !== undefined) {
        this.lastReceivedBytes = next.bytes;
        yield next.message;
      } else if (this.closed) {
        return;
      } else {
        await new Promise<void>((resolve) => {
          this.wake = resolve;
        });
      }
    }
  }
}

/**
 * Connections between processes in memory and in the time of a clock. A message that a cut or a
 * lossy pair loses leaves its channel silent in that direction for good, because a channel never
 * skips a message.
 */
export class MemoryNetwork {
  private readonly stations = new Map<string, Station>();

  private readonly latencies = new Map<string, number>();

  private readonly cuts = new Map<string, number>();

  private readonly losses = new Map<string, number>();

  private constructor(
    private readonly clock: Clock,
    private readonly options: MemoryNetworkOptions,
  ) {}

  static create(clock: Clock, options: Partial<MemoryNetworkOptions> = {}): MemoryNetwork {
    return new MemoryNetwork(clock, {
      latencyMs: 1,
      connectTimeoutMs: 3000,
      random: SeededRandom.create(1),
      ...options,
    });
  }

  /** The network as the process at `address` uses it. */
  handle(address: string): Network {
    this.station(address);
    return {
      connect: (to, signal) => this.connect(address, to, signal),
      listen: (at, accept) => this.listen(at, accept),
    };
  }

  /** A clock whose delays do not end while the process at `address` is paused. */
  clockOf(address: string): Clock {
    const station = this.station(address);
    return {
      now: () => this.clock.now(),
      sleep: async (ms, signal) => {
        // The signal often outlives the delay; the listener on it must not.
        const ended = new AbortController();
        const end = () => ended.abort();
        if (signal?.aborted) end();
        signal?.addEventListener('abort', end, { once: true });
        await this.clock.sleep(ms, ended.signal);
        signal?.removeEventListener('abort', end);
        if (station.paused) await station.resumed();
      },
    };
  }

  /** Sets the one-way latency between two addresses, both ways, in ms. */
  setLatency(a: string, b: string, latencyMs: number): void {
    this.latencies.set(pairKey(a, b), latencyMs);
    this.latencies.set(pairKey(b, a), latencyMs);
  }

  /** Loses each message from `from` to `to` with the probability `rate`; 0 ends the loss. */
  setLoss(from: string, to: string, rate: number): void {
    this.losses.set(pairKey(from, to), rate);
  }

  /** Stops everything between two groups, or only what goes from the first to the second. */
  cut(
    from: readonly string[],
    to: readonly string[],
    direction: 'both' | 'forward' = 'both',
  ): void {
    this.changeCuts(from, to, direction, 1);
  }

  /** Ends a cut made with the same arguments. Channels that lost a message stay silent. */
  heal(
    from: readonly string[],
    to: readonly string[],
    direction: 'both' | 'forward' = 'both',
  ): void {
    this.changeCuts(from, to, direction, -1);
  }

  /** Makes the open channels between two addresses silent for good; new ones work. */
  halfOpen(a: string, b: string): void {
    [a, b].forEach((owner) =>
      this.station(owner).channels.forEach((channel) => {
        const end = channel;
        if (channel.other?.owner === (owner === a ? b : a)) end.silent = true;
      }),
    );
  }

  /** Stops a process: what it sends and what it should receive waits until `resume`. */
  pause(address: string): void {
    this.station(address).paused = true;
  }

  resume(address: string): void {
    this.station(address).resume();
  }

  /** Ends a process as `kill -9` does: its listener is gone and its channels close at the peers. */
  kill(address: string): void {
    const station = this.station(address);
    station.accept = undefined;
    [...station.channels].forEach((channel) => channel.close());
  }

  traffic(address: string): Traffic {
    return this.station(address).traffic;
  }

  carry(channel: MemoryChannel, arrival: Arrival): void {
    const sender = this.station(channel.owner);
    sender.whenRunning(() => {
      sender.traffic = {
        ...sender.traffic,
        bytesOut: sender.traffic.bytesOut + arrival.bytes,
        messagesOut: sender.traffic.messagesOut + 1,
      };
      this.deliver(channel, (target) => {
        const receiver = this.station(target.owner);
        receiver.traffic = {
          ...receiver.traffic,
          bytesIn: receiver.traffic.bytesIn + arrival.bytes,
          messagesIn: receiver.traffic.messagesIn + 1,
        };
        target.arrive(arrival);
      });
    });
  }

  carryClose(channel: MemoryChannel): void {
    this.station(channel.owner).whenRunning(() =>
      this.deliver(channel, (target) => {
        target.end();
      }),
    );
  }

  forget(channel: MemoryChannel): void {
    this.station(channel.owner).channels.delete(channel);
  }

  private deliver(channel: MemoryChannel, action: (target: MemoryChannel) => void): void {
    const { other } = channel;
    const from = channel;
    if (other === undefined || channel.silent) return;
    const rate = this.losses.get(pairKey(channel.owner, other.owner)) ?? 0;
    if (this.isCut(channel.owner, other.owner) || this.options.random.next() < rate) {
      from.silent = true;
      return;
    }
    const latency = this.latency(channel.owner, other.owner);
    this.clock.sleep(latency).then(() => {
      if (channel.silent || this.isCut(channel.owner, other.owner)) {
        from.silent = true;
        return;
      }
      this.station(other.owner).whenRunning(() => action(other));
    });
  }

  private async connect(
    from: string,
    to: string,
    signal?: AbortSignal,
  ): Promise<Result<Channel, Failure>> {
    const failure = (message: string): Result<Channel, Failure> =>
      err({ kind: FailureKind.unreachable, step: 'network.connect', peer: to, message });
    const deadline = this.clock.now() + this.options.connectTimeoutMs;
    const roundTrip = this.latency(from, to) + this.latency(to, from);
    await this.clock.sleep(roundTrip, signal);
    const target = this.station(to);
    const blocked = () =>
      target.paused ||
      this.station(from).paused ||
      this.isCut(from, to) ||
      this.isCut(to, from) ||
      this.options.random.next() < (this.losses.get(pairKey(from, to)) ?? 0);
    while (blocked() && signal?.aborted !== true) {
      if (this.clock.now() >= deadline) return failure('no reply to the connection attempt');
      // TCP repeats a lost connection request; the kernel does so after 1 s.
      await this.clock.sleep(Math.min(1000, deadline - this.clock.now()), signal);
    }
    if (signal?.aborted) return failure('the connection attempt was given up');
    if (target.accept === undefined) return failure('the connection was refused');
    const near = new MemoryChannel(from, to, this);
    const far = new MemoryChannel(to, from, this);
    near.other = far;
    far.other = near;
    this.station(from).channels.add(near);
    target.channels.add(far);
    target.accept(far);
    return ok(near);
  }

  private listen(
    address: string,
    accept: (channel: Channel) => void,
  ): Promise<Result<Listener, Failure>> {
    const station = this.station(address);
    if (station.accept !== undefined) {
      const message = 'the address is in use';
      return Promise.resolve(
        err({ kind: FailureKind.refused, step: 'network.listen', peer: address, message }),
      );
    }
    station.accept = accept;
    const close = () => {
      if (station.accept === accept) station.accept = undefined;
      return Promise.resolve();
    };
    return Promise.resolve(ok({ close }));
  }

  private station(address: string): Station {
    const known = this.stations.get(address);
    if (known !== undefined) return known;
    const station = new Station();
    this.stations.set(address, station);
    return station;
  }

  private latency(from: string, to: string): number {
    return this.latencies.get(pairKey(from, to)) ?? this.options.latencyMs;
  }

  private isCut(from: string, to: string): boolean {
    return (this.cuts.get(pairKey(from, to)) ?? 0) > 0;
  }

  private changeCuts(
    from: readonly string[],
    to: readonly string[],
    direction: 'both' | 'forward',
    by: number,
  ): void {
    const change = (a: string, b: string) => {
      const key = pairKey(a, b);
      this.cuts.set(key, Math.max(0, (this.cuts.get(key) ?? 0) + by));
    };
    from.forEach((a) =>
      to.forEach((b) => {
        change(a, b);
        if (direction === 'both') change(b, a);
      }),
    );
  }
}
