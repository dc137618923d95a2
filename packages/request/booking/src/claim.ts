import { z } from 'zod';

export const ClaimState = {
  /** Claimed; the dispatch may be in progress. */
  claimed: 'claimed',
  /** The service has answered, and the outcome is recorded. */
  done: 'done',
  /** The booking may have run; its outcome is unknown. */
  unknown: 'unknown',
} as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

export const outcomeSchema = z.strictObject({
  /** HTTP status of the service's response. */
  status: z.int(),
  contentType: z.string(),
  /** Length of the body in bytes. */
  bodyBytes: z.int().min(0),
  /** SHA-256 of the body in base64url. */
  bodyDigest: z.string(),
  /** The body in base64, if it was small enough to keep. */
  body: z.string().optional(),
});

/** Recorded response to a booking. */
export type RecordedOutcome = z.infer<typeof outcomeSchema>;

export const claimSchema = z.strictObject({
  caller: z.string(),
  /** SHA-256 of the caller's name and the idempotency key, in base64url. */
  keyHash: z.string(),
  /** SHA-256 of the call with its body, in base64url. */
  bodyDigest: z.string(),
  /** Identifies the request that made the claim. */
  nonce: z.string(),
  /** Daemon that made the claim. */
  dispatcher: z.string(),
  /** Time of the claim on the dispatcher's clock, in ms since the epoch. */
  claimedAt: z.number(),
  /** Time after which the claim is dropped, in ms since the epoch. */
  expiresAt: z.number(),
  state: z.enum(ClaimState),
  outcome: outcomeSchema.optional(),
});

/** The right of one request to dispatch a booking, with the state of that booking. */
export type Claim = z.infer<typeof claimSchema>;

/** Time for which a claim is kept, in ms. Afterwards its idempotency key can be used again. */
export const claimLifetimeMs = 24 * 60 * 60 * 1000;

/** Time after the claim within which the dispatch must start, in ms on the dispatcher's clock. */
export const dispatchWindowMs = 10_000;

/** Largest clock difference between two hosts that the limits below allow for, in ms. */
export const clockSkewMs = 10_000;

/**
 * Age in ms from which a claim without an outcome counts as unknown if its dispatcher is gone. A
 * lower value is unsafe, because a dispatcher that only seems gone may still start its dispatch.
 */
export const unknownIfGoneAfterMs = dispatchWindowMs + clockSkewMs;

/** Age in ms from which a claim without an outcome always counts as unknown. */
export const unknownAfterMs = 60_000;

/** Largest response body that is recorded with the outcome, in bytes. */
export const maxKeptBodyBytes = 4_096;
