// Guards against bookings that run twice when the store comes back from a copy that lacks their claims.
import type { StoreRestores } from '../src';
import { TestCluster } from './support';

const recoveryMs = 15_000;

/** A daemon's knowledge of restores, as its test states it. */
class TestRestores implements StoreRestores {
  private endsAt = -Infinity;

  private readonly listeners: (() => void)[] = [];

  recoveryLeftMs(now: number): number {
    return Math.max(0, this.endsAt - now);
  }

  subscribe(listener: () => void): void {
    this.listeners.push(listener);
  }

  learn(now: number): void {
    this.endsAt = now + recoveryMs;
    this.listeners.forEach((listener) => listener());
  }
}

const start = () => {
  const cluster = new TestCluster();
  const member = (name: string) => {
    const restores = new TestRestores();
    return { restores, ...cluster.daemon(name, { restores }) };
  };
  const [first, second] = [member('a'), member('b')];
  const book = (daemon: typeof first, request: number) =>
    cluster.clock.settle(daemon.book('k', 'body', request));
  const learn = (...daemons: (typeof first)[]) =>
    daemons.forEach(({ restores }) => restores.learn(cluster.clock.now()));
  return { cluster, first, second, book, learn };
};

const replayed = {
  kind: 'repeat',
  state: 'done',
  outcome: expect.objectContaining({ status: 201 }),
};

test('a booking whose claim the store lost is answered from its rewritten claim', async () => {
  const { cluster, first, second, book, learn } = start();
  const copy = cluster.store.copy();
  expect(await book(first, 1)).toMatchObject({ kind: 'answered' });
  cluster.store.restore(copy);
  learn(first, second);
  await cluster.clock.advance(1_000);
  expect(await book(second, 2)).toMatchObject(replayed);
  await cluster.clock.advance(recoveryMs);
  expect(await book(second, 3)).toMatchObject(replayed);
  expect(cluster.runs).toHaveLength(1);
});

test('a key without a claim is refused until all claims are written again', async () => {
  const { cluster, first, second, book, learn } = start();
  const copy = cluster.store.copy();
  await book(first, 1);
  cluster.store.restore(copy);
  // The daemon with the claim learns of the restore later than the other one.
  learn(second);
  expect(await book(second, 2)).toMatchObject({ kind: 'refused', retryAfterMs: recoveryMs });
  learn(first);
  await cluster.clock.advance(recoveryMs);
  expect(await book(second, 3)).toMatchObject(replayed);
  expect(cluster.runs).toHaveLength(1);
});

test('a claim in progress while the daemon learns of the restore is released', async () => {
  const { cluster, second, book, learn } = start();
  second.faults.latencyMs = 100;
  const claiming = second.book('k', 'body', 1);
  await cluster.clock.advance(120);
  learn(second);
  expect(await cluster.clock.settle(claiming)).toMatchObject({ kind: 'refused' });
  await cluster.clock.advance(recoveryMs);
  expect(await book(second, 2)).toMatchObject({ kind: 'answered' });
  expect(cluster.runs).toHaveLength(1);
});

test('the outcome that the copy lacks is written again', async () => {
  const { cluster, first, second, book, learn } = start();
  first.faults.latencyMs = 20;
  const booking = first.book('k', 'body', 1);
  await cluster.clock.advance(45);
  const claimed = cluster.store.copy();
  expect(cluster.runs).toHaveLength(1);
  await cluster.clock.settle(booking);
  cluster.store.restore(claimed);
  learn(first, second);
  await cluster.clock.advance(recoveryMs);
  expect(await book(second, 2)).toMatchObject(replayed);
});

test('a released claim is not written again', async () => {
  const { cluster, first, second, book, learn } = start();
  const copy = cluster.store.copy();
  await cluster.clock.settle(first.book('k', 'body', 1, 'unreachable'));
  cluster.store.restore(copy);
  learn(first, second);
  await cluster.clock.advance(recoveryMs);
  expect(await book(second, 2)).toMatchObject({ kind: 'answered' });
});
