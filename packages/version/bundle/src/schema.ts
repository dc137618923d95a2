import type { Bundle } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { checkConsistency } from './consistency-checks';
import type { ValidationIssue } from './validation-issue';
import { normalize } from './normalize';

const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, '1 to 64 letters, digits, ".", "_" or "-"');
const adapterName = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}:[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
    '"model:adapter", each of 1 to 64 letters, digits, ".", "_" or "-"',
  );
const itemPattern = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}(:([A-Za-z0-9][A-Za-z0-9._-]{0,63}|\*))?$/,
    'a model, "model:adapter" or "model:*"',
  );
const versionName = z
  .string()
  .regex(/^[A-Za-z0-9._-]{1,64}$/, '1 to 64 letters, digits, ".", "_" or "-"');
const digest = z.string().regex(/^[0-9a-f]{64}$/, '64 lower-case hexadecimal digits (SHA-256)');
const whole = (from: number, expected: string) =>
  z.number(expected).refine((n) => Number.isSafeInteger(n) && n >= from, expected);
const bytes = whole(0, 'a whole number of bytes, 0 or more');
const replicas = whole(0, 'a whole number of replicas, 0 or more');
const timeOfDay = z
  .string()
  .regex(/^([01][0-9]|2[0-3]):[0-5][0-9]$/, 'a time of day in UTC, "00:00" to "23:59"');

export const domainSchema = z.strictObject({ name, region: name, founding: z.boolean() });

export const callerSchema = z.strictObject({
  name,
  keyHashes: z.array(digest),
  items: z.array(itemPattern),
  services: z.array(name),
  maxPriority: whole(0, 'a whole number from 0 to 9').refine((n) => n <= 9, {
    message: 'a whole number from 0 to 9',
  }),
  weight: z.number().positive('a number above 0'),
});

export const modelSchema = z.strictObject({
  name,
  version: versionName,
  bytes,
  replicas,
  pool: name,
  calendar: z.array(z.strictObject({ from: timeOfDay, to: timeOfDay })),
});

export const adapterSchema = z.strictObject({
  name: adapterName,
  version: versionName,
  bytes,
  replicas,
});

export const serviceSchema = z.strictObject({
  name,
  pool: name,
  calls: z.array(
    z.strictObject({
      name,
      method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
      repeatable: z.boolean(),
    }),
  ),
});

export const digestSchema = digest;

/** Schema of a bundle; `parseBundle` also checks the consistency of its parts. */
export const bundleSchema = z.strictObject({
  version: whole(1, 'a whole number, 1 or more'),
  previous: digest.nullable(),
  domains: z.array(domainSchema).min(1, 'at least one domain'),
  callers: z.array(callerSchema),
  models: z.array(modelSchema),
  adapters: z.array(adapterSchema),
  services: z.array(serviceSchema),
});

/** Maximum length of an invalid value in a validation issue, in characters. */
const maxValueChars = 80;

const formatPath = (path: readonly PropertyKey[]): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');

const valueAt = (value: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (inner, part) =>
      typeof inner === 'object' && inner !== null
        ? (inner as Record<PropertyKey, unknown>)[part]
        : undefined,
    value,
  );

const formatValue = (value: unknown): string => {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > maxValueChars ? `${text.slice(0, maxValueChars)}...` : text;
};

/** Converts schema errors of a document into validation issues. */
export const validationIssues = (error: z.ZodError, input: unknown): ValidationIssue[] =>
  error.issues.flatMap((issue) => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => ({
        path: formatPath([...issue.path, key]),
        value: formatValue(valueAt(input, [...issue.path, key])),
        expected: 'no field of this name',
      }));
    }
    const expected =
      issue.code === 'invalid_type' ? `a value of type ${issue.expected}` : issue.message;
    // An API key that was given in place of its hash must not appear in a log.
    const secret = issue.path.includes('keyHashes');
    const value = secret ? '(not shown)' : formatValue(valueAt(input, issue.path));
    return [{ path: formatPath(issue.path) || '(document)', value, expected }];
  });

/**
 * Validates a bundle and sorts its lists into canonical order. Reports the schema errors at once, or
 * else all inconsistencies. `previous` is the bundle that this one replaces; without it, the checks
 * against it are skipped.
 */
export const parseBundle = (
  value: unknown,
  previous?: Bundle,
): Result<Bundle, ValidationIssue[]> => {
  const parsed = bundleSchema.safeParse(value);
  if (!parsed.success) return err(validationIssues(parsed.error, value));
  const issues = checkConsistency(parsed.data, previous);
  return issues.length > 0 ? err(issues) : ok(normalize(parsed.data));
};
