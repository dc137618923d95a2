export type Value = string | number;

/** A line of a scenario, matched to a template of the language. */
export interface Statement {
  /** Line number in the file, from 1. */
  readonly line: number;
  readonly text: string;
  /** Template that the line follows, without optional parts. */
  readonly template: string;
  readonly values: Readonly<Record<string, Value>>;
}

/** Something that happens at a time. */
export interface Step extends Statement {
  /** Milliseconds since the start of the scenario. */
  readonly at: number;
}

/** Something that must hold: at a time, all the time, or at the end of the run. */
export interface Expectation extends Statement {
  readonly when: 'at' | 'always' | 'eventually';
  /** Milliseconds since the start of the scenario; only for `at`. */
  readonly at: number;
}

/** A parsed scenario file. */
export interface Scenario {
  readonly file: string;
  readonly settings: readonly Statement[];
  readonly steps: readonly Step[];
  readonly expectations: readonly Expectation[];
}

/** Number in a statement's values. */
export const numberOf = ({ values }: Statement, name: string): number => Number(values[name]);

/** Word in a statement's values. */
export const wordOf = ({ values }: Statement, name: string): string => String(values[name]);
