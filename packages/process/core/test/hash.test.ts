import { rendezvousOrder } from '@currantdrift/core';

// When a member leaves, only the endpoints assigned to it may move to other members.
test('removing a member keeps the order of the others', () => {
  const members = ['a', 'b', 'c', 'd', 'e'];
  const order = rendezvousOrder('endpoint-1', members);
  const without = rendezvousOrder(
    'endpoint-1',
    members.filter((member) => member !== order[0]),
  );
  expect(without).toEqual(order.slice(1));
});

// A biased hash would assign most of the keys to a few members.
test('keys are spread evenly over members', () => {
  const members = Array.from({ length: 38 }, (_, index) => `10.0.0.${index}:7000`);
  const counts = new Map<string, number>();
  for (let key = 0; key < 3800; key += 1) {
    const [best] = rendezvousOrder(`engine-${key}`, members) as [string];
    counts.set(best, (counts.get(best) ?? 0) + 1);
  }
  expect(Math.max(...counts.values())).toBeLessThan(200);
  expect(Math.min(...counts.values())).toBeGreaterThan(40);
});
