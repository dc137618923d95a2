import type { EventEmitter } from 'node:events';

/**
 * Resolves when the process is asked to stop. Later requests to stop change nothing: without a listener,
 * SIGTERM would end the process in the middle of its planned stop. A second SIGINT ends it, as users of a
 * terminal expect.
 */
export const awaitStopSignal = (emitter: EventEmitter = process): Promise<void> =>
  new Promise((resolve) => {
    emitter.on('SIGTERM', () => resolve());
    emitter.once('SIGINT', () => resolve());
  });
