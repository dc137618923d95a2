/** A validation error in a document that an operator wrote. */
export interface ValidationIssue {
  /** Path of the value, for example `callers[3].items[0]`. */
  readonly path: string;
  /** The value found, as shortened JSON. */
  readonly value: string;
  readonly expected: string;
}

/** Formats an issue as one line for operators. */
export const formatValidationIssue = (issue: ValidationIssue): string =>
  `${issue.path}: found ${issue.value}, expected ${issue.expected}`;
