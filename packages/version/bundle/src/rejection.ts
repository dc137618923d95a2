/** Why a bundle, a delta or a chain was not taken. */
export const RejectionKind = {
  /** It does not follow the schema; `mistakes` of the parser are in the message. */
  malformed: 'malformed',
  /** The content does not have the digest that was stated or signed. */
  wrongDigest: 'wrong_digest',
  /** A signature is missing, false, by an unknown operator, or both are by one operator. */
  wrongSignature: 'wrong_signature',
  /** A delta does not start at the version that is held, or a delta of the chain is missing. */
  brokenChain: 'broken_chain',
  /** The version is not above the one in force. */
  notNewer: 'not_newer',
} as const;
export type RejectionKind = (typeof RejectionKind)[keyof typeof RejectionKind];

export interface Rejection {
  readonly kind: RejectionKind;
  readonly step: string;
  /** Where the content came from. */
  readonly peer: string;
  readonly message: string;
}

/** Makes a rejection; the step and the peer are those of the check, the caller may refine them. */
export const rejection = (
  kind: RejectionKind,
  step: string,
  message: string,
  peer = 'self',
): Rejection => ({ kind, step, peer, message });
