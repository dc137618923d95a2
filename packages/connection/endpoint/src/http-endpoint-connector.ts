import type { EndpointConnector, Host } from '@currantdrift/core';
import { HttpEndpoint } from './http-endpoint';
import { defaultEndpointSettings, type EndpointSettings } from './settings';

interface Connected {
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
 * Makes one adapter for each endpoint and keeps it while the host list shows the same host.
 * The adapter of a replaced host finishes its calls; later calls on it are `unreachable`.
 */
export class HttpEndpointConnector implements EndpointConnector {
  private readonly connected = new Map<string, Connected>();

  private constructor(private readonly settings: EndpointSettings) {}

  /** Settings that are not given have the values of `defaultEndpointSettings`. */
  static create(settings: Partial<EndpointSettings> = {}): HttpEndpointConnector {
    return new HttpEndpointConnector({ ...defaultEndpointSettings, ...settings });
  }

  connect(host: Host): HttpEndpoint {
    const known = this.connected.get(host.name);
    if (known !== undefined && isSameEndpoint(known.host, host)) return known.endpoint;
    known?.endpoint.close().catch(() => {});
    const endpoint = HttpEndpoint.create(host, this.settings);
    this.connected.set(host.name, { host, endpoint });
    return endpoint;
  }

  /** Closes the adapter of a host that has left the list; its calls in flight finish. */
  async disconnect(name: string): Promise<void> {
    const known = this.connected.get(name);
    this.connected.delete(name);
    await known?.endpoint.close();
  }

  /** Waits for calls in flight, then closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.connected.keys()].map((name) => this.disconnect(name)));
  }
}
