import { BodyBuffer } from '../src/body-buffer';
import { ByteBudget } from '../src/byte-budget';
import { sharesOf } from '../src/host-limits';

describe('a budget for 100 bytes', () => {
  const create = () => {
    const budget = ByteBudget.create(100);
    const evicted: string[] = [];
    const hold = (name: string) => budget.hold(() => evicted.push(name));
    return { budget, evicted, hold };
  };

  // Guards against clients that keep others out with many small requests that they do not finish.
  test('gives up stalled holders first, the largest before smaller ones', () => {
    const { budget, evicted, hold } = create();
    hold('small').tryAdd(20, 0);
    hold('larger').tryAdd(30, 0);
    hold('active').tryAdd(40, 1_500);
    expect(hold('new').tryAdd(35, 1_600)).toBe(true);
    expect(evicted).toEqual(['larger']);
    expect(budget.totalBytes).toBe(95);
  });

  test('gives up only larger holders if none has stalled', () => {
    const { evicted, hold } = create();
    hold('largest').tryAdd(60, 0);
    hold('smaller').tryAdd(30, 0);
    expect(hold('new').tryAdd(40, 500)).toBe(true);
    expect(hold('large').tryAdd(50, 500)).toBe(false);
    expect(evicted).toEqual(['largest']);
  });

  // Guards against a refusal of a request that an endpoint may be running.
  test('never gives up a pinned holder', () => {
    const { evicted, hold } = create();
    const pinned = hold('pinned');
    pinned.tryAdd(90, 0);
    pinned.pin(true);
    expect(hold('new').tryAdd(20, 5_000)).toBe(false);
    expect(evicted).toEqual([]);
  });
});

// Guards against chunks of a few bytes that cost a multiple of them.
test('a body in small chunks takes little more than its bytes', () => {
  const buffer = BodyBuffer.create();
  const chunk = Buffer.from('0123456789');
  for (let index = 0; index < 10_000; index += 1) buffer.append(chunk);
  expect(buffer.allocatedBytes).toBeLessThan(1.3 * buffer.size);
  const large = Buffer.alloc(20_000, 'l');
  buffer.append(large);
  buffer.append(chunk);
  const body = buffer.take();
  expect(body.length).toBe(120_010);
  expect(body.subarray(99_990).equals(Buffer.concat([chunk, large, chunk]))).toBe(true);
  expect(buffer.size).toBe(0);
});

test('shares of hosts', () => {
  const heapBytes = 240 * 1_048_576;
  const small = sharesOf({ memoryMb: 250, maxFds: 4_100 }, heapBytes);
  const large = sharesOf({ memoryMb: 602, maxFds: 10_660 }, heapBytes);
  expect({ small, large, unstated: sharesOf({}, heapBytes) }).toMatchInlineSnapshot(`
   {
     "large": {
       "clientConnections": 3922,
       "heldBytes": 126528170,
       "peerConnections": 2615,
       "statusConnections": 209,
     },
     "small": {
       "clientConnections": 1462,
       "heldBytes": 21845333,
       "peerConnections": 975,
       "statusConnections": 78,
     },
     "unstated": {
       "clientConnections": 6069,
       "heldBytes": 95070890,
       "peerConnections": 4046,
       "statusConnections": 323,
     },
   }
  `);
});
