import { EventEmitter } from 'node:events';
import { awaitStopSignal } from '../src';

test.each(['SIGTERM', 'SIGINT'])('%s stops the process', async (signal) => {
  const emitter = new EventEmitter();
  const stopped = awaitStopSignal(emitter);
  emitter.emit(signal);
  await expect(stopped).resolves.toBeUndefined();
});

// Guards against a second SIGTERM that ends a process in its planned stop: what it served got no answer.
test('a second SIGTERM finds a listener', () => {
  const emitter = new EventEmitter();
  awaitStopSignal(emitter).catch(() => {});
  emitter.emit('SIGTERM');
  expect(emitter.listenerCount('SIGTERM')).toBe(1);
});

// What that must not cost: somebody at a terminal can still end a process that does not stop.
test('a second SIGINT finds none', () => {
  const emitter = new EventEmitter();
  awaitStopSignal(emitter).catch(() => {});
  emitter.emit('SIGINT');
  expect(emitter.listenerCount('SIGINT')).toBe(0);
});
