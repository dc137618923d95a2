import { defaultForwardSettings } from '@currantdrift/forward';
import type { EndpointRecord } from '@currantdrift/fleet';
import { type ByteBudget, HttpClient } from '@currantdrift/http';

/** Caches one HTTP client per endpoint address; all clients share one budget. */
export class EndpointClients {
  private readonly clients = new Map<string, HttpClient>();

  private constructor(private readonly heldBytes: ByteBudget) {}

  /** `heldBytes` counts the responses that are being read. */
  static create(heldBytes: ByteBudget): EndpointClients {
    return new EndpointClients(heldBytes);
  }

  of({ address }: EndpointRecord): HttpClient {
    const found = this.clients.get(address);
    if (found !== undefined) return found;
    const { connectTimeoutMs, highWaterBytes, maxAnswerBytes } = defaultForwardSettings;
    const client = HttpClient.create(address, address, {
      connectTimeoutMs,
      highWaterBytes,
      maxAnswerBytes,
      heldBytes: this.heldBytes,
      singleUse: true,
    });
    this.clients.set(address, client);
    return client;
  }
}
