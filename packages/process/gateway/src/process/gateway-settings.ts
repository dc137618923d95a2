import type { QuotaBounds } from '@currantdrift/quota';
import type { HostLimits } from '@currantdrift/http';

/** Settings of a gateway process. Times are in ms. */
export interface GatewaySettings {
  /** Name of the host, unique in the deployment. */
  readonly host: string;
  readonly domain: string;
  /** Processor time available to the process, in cores. */
  readonly processors: number;
  /** Limits of the host for this process. */
  readonly limits?: HostLimits;
  /** Region of each failure domain, by domain name. */
  readonly regions: ReadonlyMap<string, string>;
  /** Listen addresses for clients, readiness checks, peers and metrics, as `ip:port`. */
  readonly clientAddress: string;
  readonly readyAddress: string;
  readonly readyPath: string;
  readonly peerAddress: string;
  readonly metricsAddress: string;
  readonly storeAddress: string;
  /** True only when the whole deployment starts for the first time. */
  readonly firstStart: boolean;
  /** Grace period between SIGTERM and SIGKILL. */
  readonly graceMs: number;
  /** Time within which a change in the store must take effect in this process. */
  readonly changeBoundMs: number;
  /** Time within which a withdrawn API key must be refused, on any host; undefined for no bound. */
  readonly revocationBoundMs?: number;
  /** Bounds on the use of customers' quotas over all members; undefined if the platform states none. */
  readonly quotaBounds?: QuotaBounds;
  /** Whether requests wait here while the endpoints that can serve them are full. */
  readonly queuesWhenFull?: boolean;
  /** Shortest time between orders of two successive controllers to the same engine. */
  readonly holderPauseMs: number;
  /** Limits on retries: a share of the requests, plus a fixed number per window. */
  readonly retryShare: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
}
