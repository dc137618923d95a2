import type { Endpoint, EndpointConnector, Host } from '@currantdrift/core';

interface CachedEndpoint {
  readonly host: Host;
  readonly endpoint: Endpoint;
}

/** Caches endpoint clients; a host gets a new one when its address or incarnation changes. */
export class EndpointCache {
  private readonly cached = new Map<string, CachedEndpoint>();

  private constructor(private readonly connector: EndpointConnector) {}

  static create(connector: EndpointConnector): EndpointCache {
    return new EndpointCache(connector);
  }

  /** Returns the client for a host, creating it if necessary. */
  get(host: Host): Endpoint {
    const known = this.cached.get(host.name);
    if (
      known !== undefined &&
      known.host.address === host.address &&
      known.host.incarnation === host.incarnation
    ) {
      return known.endpoint;
    }
    const endpoint = this.connector.connect(host);
    this.cached.set(host.name, { host, endpoint });
    return endpoint;
  }
}
