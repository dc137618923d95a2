// Guards against accepting invalid bundles, and against refusals without the path of the error.
import { formatValidationIssue, parseBundle } from '../src';
import { callerOf, firstBundle, hashOf, next } from './support';

const issuesOf = (value: unknown, previous?: Parameters<typeof parseBundle>[1]) =>
  parseBundle(value, previous).match(
    () => [],
    (found) => found.map(formatValidationIssue),
  );

test('reports all schema errors at once', () => {
  const bundle = firstBundle(1);
  expect(
    issuesOf({
      ...bundle,
      version: 0,
      extra: 1,
      models: [
        {
          ...bundle.models[0],
          name: 'no spaces',
          replicas: -1,
          bytes: '16 GB',
          calendar: [{ from: '24:00', to: '02:00' }],
        },
      ],
      adapters: [{ ...bundle.adapters[0], name: 'quote-0', replicas: 1.5 }],
      callers: [callerOf(0, { keyHashes: ['secret'], maxPriority: 10, weight: 0 })],
    }),
  ).toMatchSnapshot();
});

test('reports all inconsistencies at once', () => {
  const bundle = firstBundle(2);
  expect(
    issuesOf({
      ...bundle,
      previous: hashOf(1),
      callers: [
        callerOf(0, { items: ['quote-9', 'quote-0:none', 'quote-9:*'], services: ['none'] }),
        callerOf(0),
      ],
      models: [
        ...bundle.models,
        { ...bundle.models[0], calendar: [{ from: '10:00', to: '10:00' }] },
      ],
      adapters: [...bundle.adapters, { ...bundle.adapters[0], name: 'quote-9:a' }],
    }),
  ).toMatchSnapshot();
});

test('lets the list of domains only grow at its end', () => {
  const before = firstBundle(0);
  const [north, east] = before.domains;
  const west = { name: 'perth-west', region: 'perth', founding: true };
  expect(issuesOf({ ...next(before, {}), domains: [east, north, west] }, before)).toMatchSnapshot();
  expect(issuesOf({ ...next(before, {}), version: 7 }, before)).toMatchSnapshot();
  const appended = [north, east, { ...west, founding: false }];
  expect(issuesOf({ ...next(before, {}), domains: appended }, before)).toEqual([]);
});
