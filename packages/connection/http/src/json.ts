import { z } from 'zod';

/** An answer, or an event of a stream, that says what became of the call. */
export const errorSchema = z.object({
  error: z.object({
    message: z.string(),
    outcome: z.enum(['not_run', 'unknown']),
    retryAfterMs: z.number().nonnegative().optional(),
  }),
});

/** The JSON value of `text`; undefined, which no schema accepts, if it is malformed. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};
