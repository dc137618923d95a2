import type { Endpoint, EndpointConnector, Host } from '@currantdrift/core';

interface Connected {
  readonly host: Host;
  readonly endpoint: Endpoint;
}

/** Adapters to endpoints, made once for each incarnation of a host. */
export class EndpointPool {
  private readonly connected = new Map<string, Connected>();

  private constructor(private readonly connector: EndpointConnector) {}

  static create(connector: EndpointConnector): EndpointPool {
    return new EndpointPool(connector);
  }

  /** The adapter to a host. */
  get(host: Host): Endpoint {
    const known = this.connected.get(host.name);
    if (
      known !== undefined &&
      known.host.address === host.address &&
      known.host.incarnation === host.incarnation
    ) {
      return known.endpoint;
    }
    const endpoint = this.connector.connect(host);
    this.connected.set(host.name, { host, endpoint });
    return endpoint;
  }

  /** Forgets the adapters of hosts that are not in `names`. */
  keep(names: ReadonlySet<string>): void {
    [...this.connected.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.connected.delete(name));
  }
}
