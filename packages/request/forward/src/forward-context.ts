import type { Clock, Telemetry } from '@currantdrift/core';
import type { RetryBudget } from '@currantdrift/attempt';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import type { HttpClient } from '@currantdrift/http';
import type { Configuration } from '@currantdrift/routes';
import type { PredictiveBalancer } from '@currantdrift/routing';
import type { EndpointProtocol } from './endpoint-protocol';
import type { EndpointSignals } from './endpoint-signs';
import type { ForwardSettings } from './forward-settings';
import type { ModelUsage } from './model-usage';
import type { ModelWaker } from './waker';

/** What the requests of a process share. */
export interface ForwardContext {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly settings: ForwardSettings;
  readonly protocol: EndpointProtocol;
  readonly directory: EndpointDirectory;
  readonly signals: EndpointSignals;
  readonly choice: PredictiveBalancer;
  readonly usage: ModelUsage;
  readonly waker: ModelWaker;
  /** Aborted when the process begins to stop: requests without an endpoint wait elsewhere. */
  readonly stopping: AbortSignal;
  /** Aborted when the process takes no new requests. */
  readonly closing: AbortSignal;
  /** Undefined until the first configuration is known. */
  readonly configuration: () => Configuration | undefined;
  /** Time since the configuration was known to be the newest, in ms. */
  readonly configurationAgeMs: (now: number) => number;
  /** Client for requests to an endpoint; its connections carry one request each. */
  readonly client: (record: EndpointRecord) => HttpClient;
  /** Budget for sends beyond the first of each request to a service. */
  readonly budget: (service: string) => RetryBudget;
  /** Time of a message to the domain and back, in ms. */
  readonly roundTripMs: (domain: string) => number;
}
