import { z } from 'zod';

export const ClaimState = {
  /** Claimed; the dispatch may be running. */
  claimed: 'claimed',
  /** Answered; the outcome is recorded. */
  done: 'done',
  /** The dispatch may have run, and its outcome is not known. */
  unknown: 'unknown',
} as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

export const outcomeSchema = z.strictObject({
  /** HTTP status of the service's answer. */
  status: z.int(),
  contentType: z.string(),
  /** Length of the body in bytes. */
  bodyBytes: z.int().min(0),
  /** SHA-256 of the body in base64url. */
  bodyDigest: z.string(),
  /** The body in base64, if it was small enough to keep. */
  body: z.string().optional(),
});

/** Recorded answer of a booking. */
export type RecordedOutcome = z.infer<typeof outcomeSchema>;

export const claimSchema = z.strictObject({
  caller: z.string(),
  /** SHA-256 of the caller's name and the idempotency key, in base64url. */
  keyHash: z.string(),
  /** SHA-256 of the call with its body, in base64url. */
  bodyDigest: z.string(),
  /** Names the request that made the claim. */
  nonce: z.string(),
  /** Daemon that made the claim. */
  dispatcher: z.string(),
  /** Time of the claim by the dispatcher's clock, in ms since the epoch. */
  claimedAt: z.number(),
  /** Time after which the claim is dropped, in ms since the epoch. */
  expiresAt: z.number(),
  state: z.enum(ClaimState),
  outcome: outcomeSchema.optional(),
});

/** The right of one request to dispatch a booking, and what came of it. */
export type Claim = z.infer<typeof claimSchema>;

/** Time that a claim is kept, in ms; the idempotency key may be used anew after it. */
export const claimLifeMs = 24 * 60 * 60 * 1000;

/** Time after the claim in which the dispatch must start, in ms by the dispatcher's clock. */
export const dispatchWindowMs = 10_000;

/** Difference between the clocks of two hosts that the bounds below allow for, in ms. */
export const clockSkewMs = 10_000;

/**
 * Age in ms at which a claim without an outcome counts as unknown if its dispatcher is gone. It
 * cannot be lower: a dispatcher that only seems to be gone may still start its dispatch.
 */
export const goneAfterMs = dispatchWindowMs + clockSkewMs;

/** Age in ms at which a claim without an outcome counts as unknown in any case. */
export const unknownAfterMs = 60_000;

/** Largest body that is kept with the outcome, in bytes. */
export const maxKeptBodyBytes = 4_096;
