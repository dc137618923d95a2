import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { ValidationIssue } from './validation-issue';
import { parseBundle, validationIssues } from './schema';
import { type ProposedBundle, signatureSchema, type SignedBundle } from './signature';

const proposedSchema = z.strictObject({ bundle: z.unknown(), proposal: signatureSchema });
const signedSchema = proposedSchema.extend({ signOff: signatureSchema });

const parseEnvelope = <T extends { readonly bundle?: unknown }>(
  schema: z.ZodType<T>,
  value: unknown,
) => {
  const parsed = schema.safeParse(value);
  if (!parsed.success) return err(validationIssues(parsed.error, value));
  const { data } = parsed;
  return parseBundle(data.bundle)
    .mapErr((issues): ValidationIssue[] =>
      issues.map((issue) => ({ ...issue, path: `bundle.${issue.path}` })),
    )
    .andThen((bundle) => ok({ ...data, bundle }));
};

/** Parses a proposed bundle from JSON, without verifying its signature. */
export const parseProposedBundle = (value: unknown): Result<ProposedBundle, ValidationIssue[]> =>
  parseEnvelope(proposedSchema, value);

/** Parses a signed bundle from JSON, without verifying its signatures. */
export const parseSignedBundle = (value: unknown): Result<SignedBundle, ValidationIssue[]> =>
  parseEnvelope(signedSchema, value);
