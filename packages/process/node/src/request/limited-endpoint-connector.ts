import type { Endpoint, EndpointConnector, Host } from '@currantdrift/core';
import { LimitedEndpoint, type LimitedEndpointOptions } from './limited-endpoint';

/** Connects to endpoints through `LimitedEndpoint`. */
export class LimitedEndpointConnector implements EndpointConnector {
  private constructor(
    private readonly connector: EndpointConnector,
    private readonly options: LimitedEndpointOptions,
  ) {}

  static create(
    connector: EndpointConnector,
    options: LimitedEndpointOptions,
  ): LimitedEndpointConnector {
    return new LimitedEndpointConnector(connector, options);
  }

  connect(host: Host): Endpoint {
    return LimitedEndpoint.create(host, this.connector.connect(host), this.options);
  }
}
