import type { Message, PeerStream } from '@currantdrift/core';
import { MemoryNetwork, VirtualClock } from '@currantdrift/fakes';
import { PeerConnections, type PeerOptions } from '@currantdrift/peer';

export const left = '10.0.0.1:7000';

export const right = '10.0.0.2:7000';

/** Two processes in virtual time, 5 ms apart. */
export const createPair = async (options: Partial<PeerOptions> = {}) => {
  const clock = VirtualClock.create(1_700_000_000_000);
  const network = MemoryNetwork.create(clock, { latencyMs: 5 });
  const create = (address: string) =>
    PeerConnections.create({
      network: network.handle(address),
      clock: network.clockOf(address),
      address,
      ...options,
    });
  const [a, b] = [create(left), create(right)];
  await a.listen();
  await b.listen();
  b.onRequest('echo', (message, from) => ({ kind: 'echoed', text: message.text, from }));
  return { a, b, clock, network };
};

/** A source that can be read at any pace and counts what was taken from it. */
export class Source {
  taken = 0;

  isAborted = false;

  constructor(
    private readonly length: number,
    private readonly text = '',
  ) {}

  async *read(signal: AbortSignal): AsyncGenerator<Message> {
    signal.addEventListener('abort', () => {
      this.isAborted = true;
    });
    while (this.taken < this.length && !signal.aborted) {
      this.taken += 1;
      await Promise.resolve();
      yield { kind: 'part', number: this.taken, text: this.text };
    }
  }
}

/** Reads a stream to its end: numbers of the parts, and the kind of a failure. */
export const readAll = async (stream: PeerStream): Promise<(number | string)[]> => {
  const read: (number | string)[] = [];
  for await (const part of stream.parts) {
    read.push(part.isOk() ? Number(part.value.number) : part.error.kind);
  }
  return read;
};
