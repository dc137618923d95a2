/** Kinds of failure of a call to another process. */
export const FailureKind = {
  /** The peer could not be reached; no byte of the call was sent. */
  unreachable: 'unreachable',
  /** The peer responded that it did not execute the call. */
  refused: 'refused',
  /** The call was sent, at least in part, and its result is unknown. */
  unknown: 'unknown',
  /** The peer violated the protocol; the result is unknown. */
  invalid: 'invalid',
} as const;

export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** Why a call to another process failed, and where. */
export interface Failure {
  readonly kind: FailureKind;
  /** Operation that failed, for example `store.get`. */
  readonly step: string;
  /** Name or address of the peer. */
  readonly peer: string;
  readonly message: string;
  /** Milliseconds after which a retry may succeed, if the peer gave a time. */
  readonly retryAfterMs?: number;
}

/** Whether the call is known to have had no effect at the peer. */
export const hadNoEffect = (failure: Failure): boolean =>
  failure.kind === FailureKind.unreachable || failure.kind === FailureKind.refused;

/** Formats a failure as one line for logs and operators. */
export const describeFailure = (failure: Failure): string =>
  `${failure.step} at ${failure.peer}: ${failure.kind}: ${failure.message}`;
