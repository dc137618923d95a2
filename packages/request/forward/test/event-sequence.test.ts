import { EventSequence } from '../src/event-sequence';

const after = (...ids: string[]) => {
  const sequence = EventSequence.create(undefined);
  expect(sequence.append(ids, false)).toBeUndefined();
  return sequence;
};

// Guards against events that a client would get twice, out of order or with a gap.
test.each([
  ['the next event', ['1', '2'], ['3', '4'], undefined],
  ['the last event again', ['1', '2'], ['2'], 'event 2 after event 2'],
  ['an earlier event', ['1', '2'], ['3', '1'], 'event 1 after event 3'],
  ['a gap in a stream without gaps', ['1', '2'], ['4'], 'no event between 2 and 4'],
  ['a gap in a stream with gaps', ['10', '20'], ['40'], undefined],
  ['a gap after one event', ['7'], ['9'], undefined],
  ['ids that are no numbers', ['a', 'b'], ['a'], undefined],
  ['no id', ['1', '2'], [], undefined],
])('an answer that goes on with %s', (_name, before, ids, expected) => {
  const sequence = after(...before);
  expect(sequence.append(ids, true)).toBe(expected);
  const last = expected === undefined ? (ids.at(-1) ?? before.at(-1)) : before.at(-1);
  expect(sequence.lastId).toBe(last);
});

test("a gap within an answer is the endpoint's own", () => {
  expect(after('1', '2').append(['4'], false)).toBeUndefined();
});
