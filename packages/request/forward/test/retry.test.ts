import { RequestKind, type Route } from '@currantdrift/routes';
import { isRetryAllowed, SendFailure } from '../src';

const kinds = [
  ['safe', RequestKind.safe, false],
  ['unsafe', RequestKind.unsafe, false],
  ['stream', RequestKind.stream, false],
  ['resumable stream', RequestKind.stream, true],
] as const;

// Guards against running a non-idempotent request twice, and against failing one that may be retried.
test('which requests may be sent again after each kind of failed send', () => {
  const table = kinds.map(([name, kind, resumable]) => {
    const route = { kind, resumable, maxAttempts: 2 } as Route;
    const after = (failure: SendFailure, runs: number, refusals: number) =>
      isRetryAllowed(route, failure, { runs, refusals }, 3);
    return {
      name,
      'not run': after(SendFailure.notRun, 0, 1),
      'not run three times': after(SendFailure.notRun, 0, 3),
      'not run after a run': after(SendFailure.notRun, 1, 1),
      unknown: after(SendFailure.unknown, 1, 0),
      'unknown twice': after(SendFailure.unknown, 2, 0),
      failed: after(SendFailure.failed, 1, 0),
      broken: after(SendFailure.broken, 1, 0),
    };
  });
  expect(table).toMatchSnapshot();
});
