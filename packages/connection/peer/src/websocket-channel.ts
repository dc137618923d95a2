import type { Socket } from 'node:net';
import type { Message } from '@currantdrift/core';
import { WebSocket } from 'ws';
import { Arrivals } from './arrivals';
import { decodeMessage, encodeMessage } from './codec';
import type { MeasuredChannel } from './measured-channel';
import { pull, type Pulled } from './pull';

/** Close codes of RFC 6455, section 7.4.1. */
const closeCode = { normal: 1000, unsupportedData: 1003, invalidData: 1007 } as const;

interface Arrival {
  readonly message: Message;
  readonly bytes: number;
}

/** A channel over an open WebSocket with one MessagePack message in each binary frame. */
export class WebSocketChannel implements MeasuredChannel {
  lastSentBytes = 0;

  lastReceivedBytes = 0;

  private corked = false;

  private readonly arrivals = new Arrivals<Arrival>();

  private constructor(
    readonly address: string,
    private readonly webSocket: WebSocket,
    private readonly socket: Socket,
    private readonly maxMessageBytes: number,
  ) {}

  static create(
    address: string,
    webSocket: WebSocket,
    socket: Socket,
    maxMessageBytes: number,
  ): WebSocketChannel {
    const channel = new WebSocketChannel(address, webSocket, socket, maxMessageBytes);
    webSocket.on('message', (data: Buffer, isBinary: boolean) => {
      channel.receive(data, isBinary);
    });
    webSocket.on('close', () => channel.arrivals.end());
    // A `close` event follows each `error` event.
    webSocket.on('error', () => {});
    return channel;
  }

  get bufferedBytes(): number {
    return this.webSocket.bufferedAmount;
  }

  get messages(): AsyncIterable<Message> {
    return pull<Message>({
      take: () => this.take(),
      changed: () => this.arrivals.changed(),
      stop: () => this.close(),
    });
  }

  /** False if the channel is closed or the message is larger than allowed. */
  send(message: Message): boolean {
    if (this.webSocket.readyState !== WebSocket.OPEN) return false;
    const bytes = encodeMessage(message);
    this.lastSentBytes = bytes.length;
    if (bytes.length > this.maxMessageBytes) return false;
    this.cork();
    this.webSocket.send(bytes, { binary: true });
    return true;
  }

  close(): void {
    if (this.webSocket.readyState === WebSocket.CONNECTING) this.webSocket.terminate();
    else this.webSocket.close(closeCode.normal);
  }

  /** Messages sent in one turn of the event loop leave in one system call. */
  private cork(): void {
    if (this.corked) return;
    this.corked = true;
    this.socket.cork();
    setImmediate(() => {
      this.corked = false;
      this.socket.uncork();
    });
  }

  private receive(data: Buffer, isBinary: boolean): void {
    if (!isBinary) {
      this.webSocket.close(closeCode.unsupportedData, 'only binary messages are allowed');
      return;
    }
    decodeMessage(data).match(
      (message) => this.arrivals.push({ message, bytes: data.length }),
      (problem) => this.webSocket.close(closeCode.invalidData, problem.slice(0, 120)),
    );
  }

  private take(): Pulled<Message> {
    const arrival = this.arrivals.take();
    if (arrival === undefined) return { kind: this.arrivals.isEnded ? 'end' : 'empty' };
    this.lastReceivedBytes = arrival.bytes;
    return { kind: 'value', value: arrival.message };
  }
}
