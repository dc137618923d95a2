import { z } from 'zod';

/** Error body, or error event of a stream, that states whether the call ran. */
export const errorSchema = z.object({
  error: z.object({
    message: z.string(),
    outcome: z.enum(['not_run', 'unknown']),
    retryAfterMs: z.number().nonnegative().optional(),
  }),
});

/** Parses JSON; returns undefined, which no schema accepts, if `text` is malformed. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};
