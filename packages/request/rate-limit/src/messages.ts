import { z } from 'zod';

/** A decision on a permit as it is sent between members. */
export const permitDecisionSchema = z.union([
  z.object({
    kind: z.literal('granted'),
    endpoint: z.string(),
    waitMs: z.number().nonnegative(),
  }),
  z.object({ kind: z.literal('refused'), retryAfterMs: z.number().nonnegative() }),
]);
