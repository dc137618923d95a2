/** A request that an endpoint accepted, as the endpoint saw it. */
export interface EndpointRun {
  /** Time at which it started, in ms since the epoch. */
  readonly at: number;
  readonly endpoint: string;
  readonly requestId: string;
  /** Item key or name of the service. */
  readonly item: string;
  readonly idempotencyKey?: string;
}

/** Faults of the answers of an endpoint. */
export interface AnswerFaults {
  /** Time that is added before the first part of an answer, in ms. */
  lateMs: number;
  /** The endpoint runs a call and its answer is lost; a stream breaks after its first part. */
  lost: boolean;
  /** Parts of an answer also arrive on other attempts. */
  crossed: boolean;
}

export const noAnswerFaults: AnswerFaults = { lateMs: 0, lost: false, crossed: false };
