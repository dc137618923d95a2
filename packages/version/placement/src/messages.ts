import type { WakeRefusal } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

/** Message between daemons that asks the controller of a domain to load an item. */
export const wakeRequestSchema = z.object({
  kind: z.literal('placement.wake'),
  /** Item key or name. */
  item: z.string().min(1),
  /** Time left until the deadline, in ms; relative, since host clocks differ. */
  withinMs: z.number().nonnegative(),
});

export type WakeRequest = z.infer<typeof wakeRequestSchema>;

const refusalSchema = z.object({
  kind: z.enum(['no_allotment', 'no_memory', 'too_late', 'no_controller', 'failed']),
  message: z.string(),
  retryAfterMs: z.number().nonnegative(),
});

export const wakeResponseSchema = z.object({
  kind: z.literal('placement.woken'),
  /** Id of the engine that holds the item. */
  engine: z.string().min(1).optional(),
  refusal: refusalSchema.optional(),
});

export type WakeResponse = z.infer<typeof wakeResponseSchema>;

/** One-way message that tells the controller which items were requested. */
export const touchNoticeSchema = z.object({
  kind: z.literal('placement.touch'),
  items: z.array(z.string().min(1)),
});

export type TouchNotice = z.infer<typeof touchNoticeSchema>;

export const wakeRequest = (item: string, deadline: number, now: number): WakeRequest => ({
  kind: 'placement.wake',
  item,
  withinMs: Math.min(Math.max(0, deadline - now), 86_400_000),
});

export const wakeResponse = (result: Result<string, WakeRefusal>): WakeResponse =>
  result.match<WakeResponse>(
    (engine) => ({ kind: 'placement.woken', engine }),
    (refusal) => ({ kind: 'placement.woken', refusal }),
  );

/** Parses a wake response; an invalid one counts as a failed wake-up. */
export const parseWakeResponse = (message: unknown): Result<string, WakeRefusal> => {
  const parsed = wakeResponseSchema.safeParse(message);
  if (parsed.success && parsed.data.engine !== undefined) return ok(parsed.data.engine);
  if (parsed.success && parsed.data.refusal !== undefined) return err(parsed.data.refusal);
  return err({
    kind: 'failed',
    message: 'the response of the controller is invalid',
    retryAfterMs: 1_000,
  });
};
