import { Domain } from './domain';

const every = (values: readonly string[], expected: string) =>
  values.every((value) => value === expected);

// Guards against islands when all daemons of a domain start at once and know only the host list.
test('a whole domain that starts at once becomes one', async () => {
  const domain = new Domain({ size: 30 });
  await domain.start(6000);
  expect(domain.daemons.map(({ membership }) => membership.members().length)).toEqual(
    Array(30).fill(30),
  );
});

// Guards against a killed daemon that stays a member, and against deaths of the others.
test('a killed daemon is dead everywhere within 10 s and nobody else is suspected', async () => {
  const domain = new Domain({ size: 12 });
  await domain.start();
  const changes = domain.record();
  const [, , victim] = domain.daemons;
  domain.kill(victim);
  await domain.clock.advance(10_000);
  expect(every(domain.statuses(victim.name), 'dead')).toBe(true);
  const others = changes.filter((change) => !change.includes('sees daemon-2:'));
  expect(others).toEqual([]);
});

// Guards against flapping after a short freeze: the frozen daemon refutes, nobody is dead.
test('a daemon that is frozen for 2.5 s and resumes refutes its suspicion', async () => {
  const domain = new Domain({ size: 12 });
  await domain.start();
  const changes = domain.record();
  const [, , , , frozen] = domain.daemons;
  domain.network.pause(frozen.address);
  await domain.clock.advance(2500);
  domain.network.resume(frozen.address);
  await domain.clock.advance(15_000);
  expect(changes.filter((change) => change.endsWith('dead'))).toEqual([]);
  expect(changes.some((change) => change.endsWith('daemon-4: suspect'))).toBe(true);
  expect(every(domain.statuses(frozen.name), 'alive')).toBe(true);
  const perObserver = changes.filter((change) => change.endsWith('daemon-4: suspect'));
  expect(new Set(perObserver).size).toBe(perObserver.length);
});

// Guards against a daemon that is frozen past its death and never comes back, or kills the others.
test('a daemon that is frozen for 30 s is dead and comes back after it resumes', async () => {
  const domain = new Domain({ size: 8 });
  await domain.start();
  const [frozen] = domain.daemons;
  domain.network.pause(frozen.address);
  await domain.clock.advance(30_000);
  expect(every(domain.statuses(frozen.name), 'dead')).toBe(true);
  const changes = domain.record();
  domain.network.resume(frozen.address);
  await domain.clock.advance(20_000);
  expect(every(domain.statuses(frozen.name), 'alive')).toBe(true);
  expect(changes.filter((change) => change.endsWith('dead'))).toEqual([]);
});

// Guards against halves of a domain that stay apart after the cut between them has healed.
test('halves merge after a cut has healed', async () => {
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

// Guards against a false death when all old connections of a daemon are silent but new ones work.
test.each([
  ['without a fresh connection first', true],
  ['with a fresh connection first', false],
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

// Guards against a planned stop that looks like a death.
test('a daemon that leaves is gone at once and is not suspected', async () => {
  const domain = new Domain({ size: 8 });
  await domain.start();
  const changes = domain.record();
  await domain.clock.settle(domain.daemons[1].membership.leave());
  await domain.clock.advance(100);
  expect(every(domain.statuses('daemon-1'), 'left')).toBe(true);
  await domain.clock.advance(10_000);
  expect(changes.filter((change) => !change.endsWith('daemon-1: left'))).toEqual([]);
});
