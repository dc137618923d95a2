import { z } from 'zod';
import { refuse, type StandinContext } from './standin-server';

/** Reads a JSON body; gives the answer to send if it does not match `schema`. */
export const readBody = async <T>(
  context: StandinContext,
  schema: z.ZodType<T>,
): Promise<{ readonly value: T } | { readonly answer: Response }> => {
  const body: unknown = await context.req.json().catch(() => undefined);
  const parsed = schema.safeParse(body);
  return parsed.success
    ? { value: parsed.data }
    : { answer: refuse(context, 400, z.prettifyError(parsed.error)) };
};
