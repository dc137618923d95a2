import {
  type Clock,
  type EndpointConnector,
  type Host,
  type LimitListener,
  type LimitSource,
  SystemClock,
} from '@currantdrift/core';
import { ByteBudget } from '@currantdrift/http';
import { HttpEndpoint } from './http-endpoint';
import { defaultEndpointSettings, type EndpointSettings } from './settings';

interface ConnectedEndpoint {
  readonly host: Host;
  readonly endpoint: HttpEndpoint;
}

const isSameEndpoint = (a: Host, b: Host): boolean =>
  a.address === b.address &&
  a.incarnation === b.incarnation &&
  a.domain === b.domain &&
  a.pool === b.pool &&
  a.fencing === b.fencing;

/**
 * Creates one adapter per endpoint and reuses it while the host list shows the same host. When a
 * host is replaced, its adapter finishes the calls in flight; later calls on it are `unreachable`.
 */
export class HttpEndpointConnector implements EndpointConnector, LimitSource {
  private readonly endpoints = new Map<string, ConnectedEndpoint>();

  private readonly limitListeners: LimitListener[] = [];

  /** Shared by all endpoints, so that many large answers cannot exhaust the memory of the process. */
  private readonly heldBytes: ByteBudget;

  private constructor(
    private readonly settings: EndpointSettings,
    private readonly clock: Clock,
  ) {
    this.heldBytes = ByteBudget.create(settings.maxHeldBytes);
  }

  /** Missing settings default to `defaultEndpointSettings`. */
  static create(
    settings: Partial<EndpointSettings> = {},
    clock: Clock = SystemClock.create(),
  ): HttpEndpointConnector {
    return new HttpEndpointConnector({ ...defaultEndpointSettings, ...settings }, clock);
  }

  onLimit(listener: LimitListener): void {
    this.limitListeners.push(listener);
  }

  connect(host: Host): HttpEndpoint {
    const existing = this.endpoints.get(host.name);
    if (existing !== undefined && isSameEndpoint(existing.host, host)) return existing.endpoint;
    existing?.endpoint.close().catch(() => {});
    const onLimit: LimitListener = (...stated) =>
      this.limitListeners.forEach((listener) => listener(...stated));
    const endpoint = HttpEndpoint.create(host, this.settings, this.heldBytes, onLimit, this.clock);
    this.endpoints.set(host.name, { host, endpoint });
    return endpoint;
  }

  /** Closes the adapter of a host that has left the host list, after its calls in flight. */
  async disconnect(name: string): Promise<void> {
    const existing = this.endpoints.get(name);
    this.endpoints.delete(name);
    await existing?.endpoint.close();
  }

  /** Waits for calls in flight, then closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.endpoints.keys()].map((name) => this.disconnect(name)));
  }
}
