/** Settings of one gateway process. Times are in ms. */
export interface GatewaySettings {
  /** Name of the host; unique in the deployment. */
  readonly host: string;
  readonly domain: string;
  /** Processor time that the process may use, in cores. */
  readonly processors: number;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
  /** `ip:port` for clients, readiness checks, peers and metrics. */
  readonly clientAddress: string;
  readonly readyAddress: string;
  readonly readyPath: string;
  readonly peerAddress: string;
  readonly metricsAddress: string;
  readonly storeAddress: string;
  /** True only at the first start of the whole deployment. */
  readonly firstStart: boolean;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Time within which a change in the store has to be in force here. */
  readonly changeBoundMs: number;
  /** Shortest time between orders of two holders to one engine. */
  readonly holderPauseMs: number;
  /** Sends beyond the first of each request: a share of the requests and a number in a window. */
  readonly retryShare: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
}
