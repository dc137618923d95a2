import type { Attempt } from './observations';
import type { Violation } from './violation';

export const isSuccess = ({ status }: Attempt): boolean =>
  status !== undefined && status >= 200 && status < 300;

const ofAnswer = (attempt: Attempt): Violation[] => {
  const { endedAt: at, id, kind, status, events, expectedEvents, resumedAfter } = attempt;
  const found: Violation[] = [];
  if (!attempt.sealed || (attempt.complete && !attempt.ownBody)) {
    const told = `${kind} ${status}, ${events.length} events after ${resumedAfter}`;
    found.push({
      at,
      rule: 'own answer',
      text: `${id} got an answer that is not its own (${told})`,
    });
  }
  if (events.some((event, index) => event !== resumedAfter + index + 1)) {
    found.push({ at, rule: 'order', text: `${id} got the events ${events.join(' ')}` });
  }
  const received = resumedAfter + events.length;
  if (attempt.complete && received !== expectedEvents) {
    const text = `${id} ended as complete after ${received} of ${expectedEvents} events`;
    found.push({ at, rule: 'order', text });
  }
  return found;
};

/** Successes that are not the endpoint's whole answer to their own request. */
export const answerViolations = (attempts: readonly Attempt[]): Violation[] =>
  attempts.filter(isSuccess).flatMap(ofAnswer);
