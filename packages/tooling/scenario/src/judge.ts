import { evaluate, type Seen } from './checks';
import { type Expectation, numberOf, wordOf } from './scenario';

/** Whether an expectation held. */
export interface Verdict {
  readonly expectation: Expectation;
  readonly holds: boolean;
  /** What was seen instead. */
  readonly detail: string;
}

const compare = (value: number, operator: string, wanted: number): boolean => {
  if (operator === '<=') return value <= wanted;
  return operator === '>=' ? value >= wanted : value === wanted;
};

const seconds = (seen: Seen, at: number): string =>
  `${((at - seen.history.start) / 1000).toFixed(3)} s`;

/** Times at which an expectation must hold. */
const momentsOf = (seen: Seen, { when, at }: Expectation, times: readonly number[]): number[] => {
  if (when === 'at') return [seen.history.start + at];
  return when === 'eventually'
    ? [seen.end]
    : [...new Set([seen.history.start, ...times, seen.end])];
};

/** Checks an expectation against what was seen. */
export const judge = (seen: Seen, expectation: Expectation): Verdict => {
  const found = evaluate(seen, expectation);
  if (found.kind === 'rule') {
    const limit = expectation.when === 'at' ? seen.history.start + expectation.at : Infinity;
    const violations = found.violations.filter(({ at }) => at <= limit);
    const [first] = violations;
    const more = violations.length > 1 ? `, and ${violations.length - 1} more` : '';
    const detail = first === undefined ? '' : `${seconds(seen, first.at)}: ${first.message}${more}`;
    return { expectation, holds: first === undefined, detail };
  }
  // A count of daemons that differ has no operator in the language; none may.
  const hasOperator = expectation.values.op !== undefined;
  const operator = hasOperator ? wordOf(expectation, 'op') : '=';
  const wanted = hasOperator ? numberOf(expectation, 'count') : 0;
  const wrong = momentsOf(seen, expectation, found.times).find(
    (at) => !compare(found.valueAt(at), operator, wanted),
  );
  const what = hasOperator ? 'value' : 'daemons that differ:';
  const detail =
    wrong === undefined ? '' : `${seconds(seen, wrong)}: ${what} ${found.valueAt(wrong)}`;
  return { expectation, holds: wrong === undefined, detail };
};
