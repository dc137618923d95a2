import { z } from 'zod';

const amountSchema = z.number().nonnegative();

/** Highest number of requests that one question covers. */
export const maxCostsPerQuestion = 64;

/** A member's question for tokens of one customer. */
export const quotaQuestionSchema = z.object({
  /** Host of the member that asks. */
  member: z.string(),
  /** Cost of each request that waits, in order. */
  costs: z.array(amountSchema).min(1).max(maxCostsPerQuestion),
  /** Tokens for requests that the member expects within the next second. */
  ahead: amountSchema,
  /** Unused tokens of the member's last lease, which it gives back. */
  unused: amountSchema,
});
export type QuotaQuestion = z.infer<typeof quotaQuestionSchema>;

/** The decision of an owner or a stand-in. */
export const quotaDecisionSchema = z.object({
  kind: z.literal('decided'),
  role: z.enum(['owner', 'standIn']),
  /** Identifies the grant when tokens are given back. */
  grant: z.number(),
  /** For each cost 0 if it is granted, or the time until it is free, in ms; null if never. */
  waitsMs: z.array(amountSchema.nullable()),
  /** Tokens granted for requests to come. */
  ahead: amountSchema,
});
export type QuotaDecision = z.infer<typeof quotaDecisionSchema>;

/** What an owner hands over to its successor. */
export const quotaHandoverSchema = z.object({
  /** Tokens in the bucket; negative if the customer has to pay off an expensive request. */
  tokens: z.number(),
  /** Tokens that members may hold for requests to come. */
  ahead: amountSchema,
});
export type QuotaHandover = z.infer<typeof quotaHandoverSchema>;

/** Tokens of a request that was not sent, given back to the member that granted them. */
export const quotaReturnSchema = z.object({ grant: z.number(), tokens: amountSchema });
export type QuotaReturn = z.infer<typeof quotaReturnSchema>;
