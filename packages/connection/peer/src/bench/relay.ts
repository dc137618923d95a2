import { setMaxListeners } from 'node:events';
import type { Clock, Message } from '@currantdrift/core';
import { PeerConnections } from '../peer-connections';
import { WebSocketNetwork } from '../websocket-network';

export interface RelayOptions {
  readonly clock: Clock;
  readonly streams: number;
  /** Time between two tokens of a stream, in ms. */
  readonly tokenMs: number;
  readonly durationMs: number;
  /** Ports on 127.0.0.1. */
  readonly ports: readonly [number, number];
}

/** Cost of relaying token streams over one connection; both ends run in this process. */
export interface RelayCost {
  readonly streams: number;
  readonly tokensPerSecond: number;
  readonly framesPerSecond: number;
  /** Encoded size, in bytes. */
  readonly bytesPerToken: number;
  /** Processor time of both ends together, in microseconds. */
  readonly cpuPerToken: number;
  readonly cpuPerFrame: number;
  /** Share of a core of both ends together, in percent. */
  readonly cpuPercent: number;
}

const round = (value: number): number => Math.round(value * 100) / 100;

/** Tokens that fall due together wake their streams in one turn, as reads of one socket do. */
class Pacer {
  private waiting: (() => void)[][];

  private place = 0;

  constructor(private readonly periodMs: number) {
    this.waiting = Array.from({ length: periodMs }, () => []);
  }

  /** Resolves one period after the stream's last turn; streams are spread over the period. */
  next(stream: number): Promise<void> {
    return new Promise((resolve) => {
      this.waiting[stream % this.periodMs].push(resolve);
    });
  }

  async run(clock: Clock, signal: AbortSignal): Promise<void> {
    let done = clock.now();
    while (!signal.aborted) {
      await clock.sleep(1);
      for (; done < clock.now(); done += 1) {
        this.place = (this.place + 1) % this.periodMs;
        const due = this.waiting[this.place];
        this.waiting[this.place] = [];
        due.forEach((resolve) => resolve());
      }
    }
  }
}

/** Relays tokens for `durationMs` and measures the cost. */
export const measureRelay = async (options: RelayOptions): Promise<RelayCost> => {
  const { clock, durationMs, ports, streams, tokenMs } = options;
  const [server, client] = ports.map((port) =>
    PeerConnections.create({
      network: WebSocketNetwork.create(),
      clock,
      address: `127.0.0.1:${port}`,
    }),
  );
  const listening = await server.listen();
  if (listening.isErr()) throw new Error(listening.error.message);
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const pacer = new Pacer(tokenMs);
  server.onStream('generate', async function* generate(message, _from, signal) {
    for (let offset = 0; !signal.aborted; offset += 1) {
      await pacer.next(Number(message.stream));
      yield { kind: 'tokens', requestId: message.requestId, attempt: 1, offset, tokens: [' lamp'] };
    }
  });
  pacer.run(clock, stop.signal).catch(() => {});
  let tokens = 0;
  const read = async (stream: number) => {
    const message: Message = { kind: 'generate', stream, requestId: `request-${stream}` };
    const opened = await client.openStream(`127.0.0.1:${ports[0]}`, message, stop.signal);
    if (opened.isErr()) throw new Error(opened.error.message);
    for await (const part of opened.value.parts) tokens += part.isOk() ? 1 : 0;
  };
  const readers = Array.from({ length: streams }, (_each, stream) => read(stream));
  await clock.sleep(1000);
  const before = { at: clock.now(), cpu: process.cpuUsage(), traffic: client.traffic.data, tokens };
  await clock.sleep(durationMs);
  const cpu = process.cpuUsage(before.cpu);
  const traffic = client.traffic.data;
  const seconds = (clock.now() - before.at) / 1000;
  const counted = tokens - before.tokens;
  const frames = traffic.messagesIn - before.traffic.messagesIn;
  stop.abort();
  await Promise.all(readers);
  await Promise.all([client.close(), server.close()]);
  const cpuMicros = cpu.user + cpu.system;
  return {
    streams,
    tokensPerSecond: round(counted / seconds),
    framesPerSecond: round(frames / seconds),
    bytesPerToken: round((traffic.bytesIn - before.traffic.bytesIn) / counted),
    cpuPerToken: round(cpuMicros / counted),
    cpuPerFrame: round(cpuMicros / frames),
    cpuPercent: round(cpuMicros / 10_000 / seconds),
  };
};
