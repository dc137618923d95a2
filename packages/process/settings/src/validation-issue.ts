import type { z } from 'zod';

/** One validation error in a settings file. */
export interface ValidationIssue {
  /** Path in the document, such as `callers.address`. */
  readonly path: string;
  /** Value at the path as JSON, shortened; `nothing` if it is missing. */
  readonly value: string;
  readonly expected: string;
}

const maxValueLength = 60;

const valueAt = (document: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    document,
  );

const formatValue = (value: unknown): string => {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}...` : text;
};

const formatPath = (path: readonly PropertyKey[]): string =>
  path.map(String).join('.') || '(document)';

/** Converts a Zod issue: one validation issue for each unknown key, otherwise a single one. */
const toValidationIssues = (issue: z.core.$ZodIssue, document: unknown): ValidationIssue[] => {
  if (issue.code !== 'unrecognized_keys') {
    const value = formatValue(valueAt(document, issue.path));
    return [{ path: formatPath(issue.path), value, expected: issue.message }];
  }
  return issue.keys.map((key) => {
    const path = [...issue.path, key];
    return {
      path: formatPath(path),
      value: formatValue(valueAt(document, path)),
      expected: 'no such key; remove it or correct its spelling',
    };
  });
};

/** Lists all validation issues of a document, sorted by path. */
export const listValidationIssues = (error: z.ZodError, document: unknown): ValidationIssue[] =>
  error.issues
    .flatMap((issue) => toValidationIssues(issue, document))
    .sort((a, b) => (a.path < b.path ? -1 : Number(a.path > b.path)));

/** Formats a validation issue as one line for operators. */
export const formatValidationIssue = (mistake: ValidationIssue): string =>
  `${mistake.path}: found ${mistake.value}: ${mistake.expected}`;
