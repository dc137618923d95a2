import type { Attempt, Run } from './observations';
import type { Violation } from './violation';

/** Time at which a withdrawn API key had gone from the configuration, by key; in ms. */
export type Withdrawals = ReadonlyMap<string, number>;

const ofRun = (
  { id, customer, apiKey, sentAt }: Attempt,
  run: Run,
  withdrawals: Withdrawals,
  revocationMs: number,
): Violation[] => {
  const { at, endpoint } = run;
  const found: Violation[] = [];
  if (run.customer !== customer) {
    const text = `${id} of ${customer} ran on ${endpoint} as one of ${run.customer}`;
    found.push({ at, rule: 'customer', text });
  }
  if (run.showsKey) {
    found.push({ at, rule: 'key stays here', text: `${endpoint} received the key of ${id}` });
  }
  const lateMs = sentAt - (withdrawals.get(apiKey) ?? Infinity) - revocationMs;
  if (lateMs > 0) {
    const text = `${id} ran on ${endpoint}, sent ${Math.round(lateMs)} ms too late`;
    found.push({ at, rule: 'withdrawn key', text });
  }
  return found;
};

/** Runs that name another customer, received a key, or whose key had been withdrawn for too long. */
export const keyViolations = (
  attempts: readonly Attempt[],
  runs: ReadonlyMap<string, readonly Run[]>,
  withdrawals: Withdrawals,
  revocationMs: number,
): Violation[] =>
  attempts.flatMap((attempt) =>
    (runs.get(attempt.id) ?? []).flatMap((run) => ofRun(attempt, run, withdrawals, revocationMs)),
  );
