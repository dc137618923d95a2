import type { z } from 'zod';

/** One mistake in a settings file. */
export interface ValidationIssue {
  /** Place in the document, such as `callers.address`. */
  readonly path: string;
  /** What stands there, as JSON; `nothing` if the value is missing. */
  readonly value: string;
  readonly expected: string;
}

const longestValue = 60;

const valueAt = (document: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    document,
  );

const show = (value: unknown): string => {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > longestValue ? `${text.slice(0, longestValue)}...` : text;
};

const pathText = (path: readonly PropertyKey[]): string =>
  path.map(String).join('.') || '(document)';

/** Lists an issue's mistakes: one for each unknown key, else one. */
const mistakesOf = (issue: z.core.$ZodIssue, document: unknown): ValidationIssue[] => {
  if (issue.code !== 'unrecognized_keys') {
    const value = show(valueAt(document, issue.path));
    return [{ path: pathText(issue.path), value, expected: issue.message }];
  }
  return issue.keys.map((key) => {
    const path = [...issue.path, key];
    return {
      path: pathText(path),
      value: show(valueAt(document, path)),
      expected: 'no such key; remove it or correct its spelling',
    };
  });
};

/** All mistakes that the schema found in a document, in the order of their paths. */
export const listMistakes = (error: z.ZodError, document: unknown): ValidationIssue[] =>
  error.issues
    .flatMap((issue) => mistakesOf(issue, document))
    .sort((a, b) => (a.path < b.path ? -1 : Number(a.path > b.path)));

/** A mistake as a line for people. */
export const formatValidationIssue = (mistake: ValidationIssue): string =>
  `${mistake.path}: found ${mistake.value}: ${mistake.expected}`;
