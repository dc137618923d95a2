import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { ValidationIssue } from './mistake';
import { mistakesOf, parseBundle } from './schema';
import { type ProposedBundle, type SignedBundle, signatureSchema } from './signature';

const proposedSchema = z.strictObject({ bundle: z.unknown(), proposal: signatureSchema });
const signedSchema = proposedSchema.extend({ signOff: signatureSchema });

const parseEnvelope = <T extends { readonly bundle?: unknown }>(
  schema: z.ZodType<T>,
  value: unknown,
) => {
  const parsed = schema.safeParse(value);
  if (!parsed.success) return err(mistakesOf(parsed.error, value));
  const { data } = parsed;
  return parseBundle(data.bundle)
    .mapErr((mistakes): ValidationIssue[] =>
      mistakes.map((mistake) => ({ ...mistake, path: `bundle.${mistake.path}` })),
    )
    .andThen((bundle) => ok({ ...data, bundle }));
};

/** Reads a proposed bundle from JSON; the signature is not verified here. */
export const parseProposedBundle = (value: unknown): Result<ProposedBundle, ValidationIssue[]> =>
  parseEnvelope(proposedSchema, value);

/** Reads a signed bundle from JSON; the signatures are not verified here. */
export const parseSignedBundle = (value: unknown): Result<SignedBundle, ValidationIssue[]> =>
  parseEnvelope(signedSchema, value);
