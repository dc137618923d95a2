import fc from 'fast-check';
import { EventSplitter } from '../src';
import { beginsWithId } from '../src/event-splitter';

const events = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n', 'data: c\n\n', 'id:4\n\n'];

// Guards against partial, lost or repeated events, wherever chunk boundaries fall.
test('complete events are returned in order for every division into chunks', () => {
  const whole = Buffer.from(events.join(''));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: whole.length })), (cuts) => {
      const points = [0, ...[...new Set(cuts)].sort((a, b) => a - b), whole.length];
      const splitter = EventSplitter.create();
      const out = points.slice(1).map((end, index) => {
        const found = splitter.push(whole.subarray(points[index], end));
        return found?.bytes.toString() ?? '';
      });
      expect(out.join('')).toBe(whole.toString());
      expect(splitter.remainder).toHaveLength(0);
      const ends = events.map((_, index) => events.slice(0, index + 1).join('').length);
      const lengths = out.map((_, index) => out.slice(0, index + 1).join('').length);
      lengths.forEach((length) => expect([0, ...ends]).toContain(length));
    }),
  );
});

// Guards against resuming a stream after the wrong event.
test('ids are those of the complete events that have one', () => {
  const splitter = EventSplitter.create();
  const push = (text: string) => splitter.push(Buffer.from(text))?.ids;
  expect(push(`${events[0]}${events[1]}${events[2]}id: 9\nda`)).toEqual(['1', '2']);
  expect(push('ta: x\n\n')).toEqual(['9']);
  expect(push(events[2])).toEqual([]);
});

// Guards against an error's text that is taken for the rest of a stream, and against sound streams that begin
// with a comment or with another field.
test.each([
  ['id: 6\ndata: x\n\n', true],
  [': comment\n\nversion: 2\r\nid: 6\r\ndata: x\r\n\r\n', true],
  [': comment\n\n', true],
  ['{"error":"overloaded"}\n\n', false],
  ['data: x\n\nid: 6\n\n', false],
])('%j begins with an id: %j', (text, expected) => {
  const found = EventSplitter.create().push(Buffer.from(text));
  expect(found && beginsWithId(found)).toBe(expected);
});
