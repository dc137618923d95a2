/** Kinds of failure at an interface to another process. */
export const FailureKind = {
  /** The peer could not be reached; no byte of the call was sent. */
  unreachable: 'unreachable',
  /** The peer answered that it did not carry out the call. */
  refused: 'refused',
  /** The call was sent, at least in part, and its result is not known. */
  unknown: 'unknown',
  /** The peer sent something that does not follow the protocol; the result is not known. */
  invalid: 'invalid',
} as const;

export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** Why a call to another process failed, and where. */
export interface Failure {
  readonly kind: FailureKind;
  /** Step of the request or task, for example `store.get`. */
  readonly step: string;
  /** Name or address of the other side. */
  readonly peer: string;
  readonly message: string;
  /** Milliseconds after which another try may succeed, when the peer said so. */
  readonly retryAfterMs?: number;
}

/** Tells whether the call provably had no effect at the peer. */
export const hadNoEffect = (failure: Failure): boolean =>
  failure.kind === FailureKind.unreachable || failure.kind === FailureKind.refused;

/** One line for logs and operators. */
export const describeFailure = (failure: Failure): string =>
  `${failure.step} at ${failure.peer}: ${failure.kind}: ${failure.message}`;
