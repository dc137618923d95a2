/** Protections of bookings. Tests disable each one to show that it is needed. */
export interface Protections {
  /** After a write without an answer, the nonce in the store tells whether the write succeeded. */
  readonly nonceReRead: boolean;
  /** A claim is granted only after its compare-and-swap is confirmed. */
  readonly claimBeforeDispatch: boolean;
  /** Consuming a permit checks that the dispatch window has not passed. */
  readonly checkBeforeDispatch: boolean;
}

export const allProtections: Protections = {
  nonceReRead: true,
  claimBeforeDispatch: true,
  checkBeforeDispatch: true,
};
