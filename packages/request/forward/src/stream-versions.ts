/** A stream of events that an endpoint has begun. */
export interface BegunStream {
  /** Key of the client's attempt (`requestKey`). */
  readonly request: string;
  readonly service: string;
  /** Software version of the endpoint. */
  readonly softwareVersion: string;
}

/**
 * Knows at which software version streams began. What two versions write does not fit together, so a stream
 * may go on only at endpoints of the version that began it.
 */
export interface StreamVersions {
  record(stream: BegunStream): void;
  /**
   * The software version that began the stream of an earlier attempt, here or in another process; undefined
   * if that is not certain. `request` is the key of the attempt, if the client states its id.
   */
  find(request: string | undefined, service: string): Promise<string | undefined>;
  /** Whether streams may begin at endpoints of the version, or all processes have yet to learn of it. */
  mayBegin(service: string, softwareVersion: string): boolean;
}
