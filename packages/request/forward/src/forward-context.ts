import type { AnswerTimes, Clock, PlannedStop, Telemetry } from '@currantdrift/core';
import type { RetryBudget } from '@currantdrift/attempt';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import type { ClientMemory, HttpClient } from '@currantdrift/http';
import type { Configuration } from '@currantdrift/routes';
import type { CrashWatch } from '@currantdrift/quarantine';
import type { RequestPermits } from '@currantdrift/rate-limit';
import type { PredictiveBalancer } from '@currantdrift/routing';
import type { AdmissionControl } from './admission-control';
import type { Authorizer } from './authorizer';
import type { EndpointProtocol } from './endpoint-protocol';
import type { EndpointSignals } from './endpoint-signals';
import type { ForwardSettings } from './forward-settings';
import type { ModelUsage } from './model-usage';
import type { QuotaAdmission } from './quota-admission';
import type { RetrySpread } from './retry-spread';
import type { StreamVersions } from './stream-versions';
import type { ModelWaker } from './waker';

/** Dependencies that all requests of a process share. */
export interface ForwardContext {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly settings: ForwardSettings;
  readonly protocol: EndpointProtocol;
  /** Decides whose requests may be sent, by the newest configuration. */
  readonly authorizer: Authorizer;
  /** Admits requests within their customers' quotas. */
  readonly quotas: QuotaAdmission;
  readonly directory: EndpointDirectory;
  readonly signals: EndpointSignals;
  readonly balancer: PredictiveBalancer;
  /** Queues of requests for which no endpoint has room. */
  readonly admission: AdmissionControl;
  readonly usage: ModelUsage;
  /** Permits for requests to endpoints that limit their requests. */
  readonly permits: RequestPermits;
  readonly waker: ModelWaker;
  /** When clients retry that are refused while all endpoints pause or limit their requests. */
  readonly retrySpread: RetrySpread;
  /** Finds and holds back prompts that crash engines. */
  readonly crashes: CrashWatch;
  /** Knows at which software version streams began. */
  readonly streamVersions: StreamVersions;
  /**
   * Aborted when the process begins to shut down: requests that still wait for an endpoint are
   * refused, so that their clients retry at another process.
   */
  readonly stopping: AbortSignal;
  /** Aborted when the process stops accepting requests. */
  readonly closing: AbortSignal;
  /** Decides which requests may begin while the process stops. */
  readonly stop: PlannedStop;
  /** How long answers take, by service. */
  readonly answerTimes: AnswerTimes;
  /** Memory for requests and responses of all clients. */
  readonly clientMemory: ClientMemory;
  /** Returns undefined until the first configuration has been received. */
  readonly configuration: () => Configuration | undefined;
  /** Time since the configuration was last known to be current, in ms. */
  readonly configurationAgeMs: (now: number) => number;
  /** Returns the client for an endpoint; each of its connections carries one request. */
  readonly client: (record: EndpointRecord) => HttpClient;
  /** Returns the retry budget of a service, for sends beyond the first of each request. */
  readonly budget: (service: string) => RetryBudget;
  /** Round-trip time to a domain, in ms. */
  readonly roundTripMs: (domain: string) => number;
}
