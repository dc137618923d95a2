import fc from 'fast-check';
import { EventSplitter } from '../src';

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
test('lastId is the id of the last complete event with an id', () => {
  const splitter = EventSplitter.create();
  expect(splitter.push(Buffer.from(`${events[0]}${events[1]}${events[2]}id: 9\nda`))?.lastId).toBe(
    '2',
  );
  expect(splitter.push(Buffer.from('ta: x\n\n'))?.lastId).toBe('9');
  expect(splitter.push(Buffer.from(events[2]))?.lastId).toBeUndefined();
});
