/** One mistake in a document that an operator wrote. */
export interface ValidationIssue {
  /** Where, for example `callers[3].items[0]`. */
  readonly path: string;
  /** What stands there, as JSON, shortened. */
  readonly value: string;
  readonly expected: string;
}

/** One line for operators. */
export const formatValidationIssue = (mistake: ValidationIssue): string =>
  `${mistake.path}: found ${mistake.value}, expected ${mistake.expected}`;
