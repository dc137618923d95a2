import { z } from 'zod';

/** Throws an error that names each mistake if `config` does not match. */
export const parseConfig = <T>(schema: z.ZodType<T>, config: unknown): T => {
  const parsed = schema.safeParse(config);
  if (parsed.success) return parsed.data;
  throw new Error(`the configuration has mistakes:\n${z.prettifyError(parsed.error)}`);
};
