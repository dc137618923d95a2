import { Domain } from './domain';

const allEqual = (values: readonly string[], expected: string) =>
  values.every((value) => value === expected);

// Guards against separate groups when all daemons start at once and know only the host list.
test('30 daemons that start at the same time form one domain', async () => {
  const domain = new Domain({ size: 30 });
  await domain.start(6000);
  expect(domain.daemons.map(({ membership }) => membership.members().length)).toEqual(
    Array(30).fill(30),
  );
});

// Guards against a killed daemon that stays a member, and against other members declared dead.
test('all members declare a killed daemon dead within 10 s and suspect no other', async () => {
  const domain = new Domain({ size: 12 });
  await domain.start();
  const changes = domain.record();
  const [, , victim] = domain.daemons;
  domain.kill(victim);
  await domain.clock.advance(10_000);
  expect(allEqual(domain.statuses(victim.name), 'dead')).toBe(true);
  const others = changes.filter((change) => !change.includes('sees daemon-2:'));
  expect(others).toEqual([]);
});

// Guards against flapping after a short pause: the daemon must refute before it is declared dead.
test('a daemon that is paused for 2.5 s refutes the suspicion when it resumes', async () => {
  const domain = new Domain({ size: 12 });
  await domain.start();
  const changes = domain.record();
  const [, , , , paused] = domain.daemons;
  domain.network.pause(paused.address);
  await domain.clock.advance(2500);
  domain.network.resume(paused.address);
  await domain.clock.advance(15_000);
  expect(changes.filter((change) => change.endsWith('dead'))).toEqual([]);
  expect(changes.some((change) => change.endsWith('daemon-4: suspect'))).toBe(true);
  expect(allEqual(domain.statuses(paused.name), 'alive')).toBe(true);
  const perObserver = changes.filter((change) => change.endsWith('daemon-4: suspect'));
  expect(new Set(perObserver).size).toBe(perObserver.length);
});

// Guards against a daemon that was declared dead during a pause and, after it resumes, does not
// rejoin or declares the others dead.
test('a daemon that is paused for 30 s is declared dead and rejoins when it resumes', async () => {
  const domain = new Domain({ size: 8 });
  await domain.start();
  const [paused] = domain.daemons;
  domain.network.pause(paused.address);
  await domain.clock.advance(30_000);
  expect(allEqual(domain.statuses(paused.name), 'dead')).toBe(true);
  const changes = domain.record();
  domain.network.resume(paused.address);
  await domain.clock.advance(20_000);
  expect(allEqual(domain.statuses(paused.name), 'alive')).toBe(true);
  expect(changes.filter((change) => change.endsWith('dead'))).toEqual([]);
});

// Guards against halves of a domain that stay separate after the network partition has healed.
test('two halves of a domain merge after a partition heals', async () => {
  const domain = new Domain({ size: 10 });
  await domain.start();
  const addresses = domain.daemons.map(({ address }) => address);
  const [left, right] = [addresses.slice(0, 5), addresses.slice(5)];
  domain.network.cut(left, right);
  await domain.clock.advance(25_000);
  expect(domain.daemons.map(({ membership }) => membership.members().length)).toEqual(
    Array(10).fill(5),
  );
  domain.network.heal(left, right);
  await domain.clock.advance(40_000);
  expect(domain.daemons.map(({ membership }) => membership.alive().length)).toEqual(
    Array(10).fill(10),
  );
});

// Guards against declaring a daemon dead when its open connections are half-open but new ones work.
test.each([
  ['a member is declared dead without a new connection', true],
  ['a member stays alive with a new connection', false],
])('half-open connections: %s', async (_name, isOff) => {
  const domain = new Domain({
    size: 8,
    membership: { skipsFreshConnection: isOff },
    peer: { trustsOldConnections: isOff },
  });
  await domain.start(30_000);
  const changes = domain.record();
  const [victim, ...others] = domain.daemons;
  others.forEach(({ address }) => domain.network.halfOpen(victim.address, address));
  await domain.clock.advance(15_000);
  expect(changes.some((change) => change.endsWith('daemon-0: dead'))).toBe(isOff);
  expect(changes.some((change) => change.endsWith('daemon-0: suspect'))).toBe(isOff);
});

// Guards against a planned stop that is taken for a crash.
test('a daemon that leaves has left for all members within 100 ms and is not suspected', async () => {
  const domain = new Domain({ size: 8 });
  await domain.start();
  const changes = domain.record();
  await domain.clock.settle(domain.daemons[1].membership.leave());
  await domain.clock.advance(100);
  expect(allEqual(domain.statuses('daemon-1'), 'left')).toBe(true);
  await domain.clock.advance(10_000);
  expect(changes.filter((change) => !change.endsWith('daemon-1: left'))).toEqual([]);
});
