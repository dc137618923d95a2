import { defaultForwardSettings } from '@currantdrift/forward';
import type { EndpointRecord } from '@currantdrift/fleet';
import { ByteBudget, HttpClient } from '@currantdrift/http';

/** Caches one HTTP client per endpoint address; all clients share one buffer budget. */
export class EndpointClients {
  private readonly clients = new Map<string, HttpClient>();

  private readonly bufferedBytes = ByteBudget.create(defaultForwardSettings.maxBufferedBytes);

  private constructor() {}

  static create(): EndpointClients {
    return new EndpointClients();
  }

  of({ address }: EndpointRecord): HttpClient {
    const found = this.clients.get(address);
    if (found !== undefined) return found;
    const { connectTimeoutMs, highWaterBytes, maxAnswerBytes } = defaultForwardSettings;
    const client = HttpClient.create(address, address, {
      connectTimeoutMs,
      highWaterBytes,
      maxAnswerBytes,
      heldBytes: this.bufferedBytes,
      singleUse: true,
    });
    this.clients.set(address, client);
    return client;
  }
}
