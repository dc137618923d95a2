/** Why a bundle, a delta or a chain of deltas was rejected. */
export const RejectionKind = {
  /** It does not match the schema; the message contains the issues of the parser. */
  malformed: 'malformed',
  /** The content does not match the digest that was given or signed. */
  wrongDigest: 'wrong_digest',
  /** A signature is missing, invalid or by an unknown operator, or both are by the same operator. */
  wrongSignature: 'wrong_signature',
  /** A delta does not start at the version in force, or a delta of the chain is missing. */
  brokenChain: 'broken_chain',
  /** The version is not above the one in force. */
  notNewer: 'not_newer',
} as const;
export type RejectionKind = (typeof RejectionKind)[keyof typeof RejectionKind];

export interface Rejection {
  readonly kind: RejectionKind;
  readonly step: string;
  /** Source of the content. */
  readonly peer: string;
  readonly message: string;
}

/** Creates a rejection with the step and peer of the check; callers may override them. */
export const rejection = (
  kind: RejectionKind,
  step: string,
  message: string,
  peer = 'self',
): Rejection => ({ kind, step, peer, message });
