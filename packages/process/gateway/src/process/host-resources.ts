import type { Telemetry } from '@currantdrift/core';
import {
  ByteBudget,
  type ClientMemory,
  type HostLimits,
  type HostShares,
  sharesOf,
  ShedReport,
} from '@currantdrift/http';
import { EndpointClients } from '../connection/endpoint-clients';

/** What the host allows the process to hold, and what the process holds of it for clients and endpoints. */
export class HostResources {
  readonly shares: HostShares;

  readonly memory: ClientMemory;

  readonly endpointClients: EndpointClients;

  private constructor(
    readonly limits: HostLimits,
    telemetry: Telemetry,
  ) {
    this.shares = sharesOf(limits);
    const budget = ByteBudget.create(this.shares.heldBytes);
    this.memory = { budget, report: ShedReport.create(telemetry) };
    this.endpointClients = EndpointClients.create(budget);
  }

  static create(limits: HostLimits, telemetry: Telemetry): HostResources {
    return new HostResources(limits, telemetry);
  }
}
