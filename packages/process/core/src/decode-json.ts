import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** Parses JSON bytes by a schema; fails with the first wrong field and the reason. */
export const decodeJson = <T>(schema: z.ZodType<T>, bytes: Uint8Array): Result<T, string> => {
  let document: unknown;
  try {
    document = JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    // The parser's message quotes the text, which may hold secrets.
    return err('not JSON');
  }
  const parsed = schema.safeParse(document);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  return err(`${issue.path.map(String).join('.') || '(document)'}: ${issue.message}`);
};
