/** Protections of bookings that tests switch off to show that they are needed. */
export interface Protections {
  /** A lost answer of a write is settled by reading the claim's nonce. */
  readonly nonceReRead: boolean;
  /** A claim is granted only when its compare-and-swap is confirmed. */
  readonly claimBeforeDispatch: boolean;
  /** The time is checked when a permit is consumed. */
  readonly checkBeforeDispatch: boolean;
}

export const allProtections: Protections = {
  nonceReRead: true,
  claimBeforeDispatch: true,
  checkBeforeDispatch: true,
};
