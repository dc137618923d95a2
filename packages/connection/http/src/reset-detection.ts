import type { Socket } from 'node:net';

/** Code of the error of a connection that the peer reset; undici takes `ECONNRESET` for an orderly end. */
const resetCode = 'ERR_CONNECTION_RESET';

const resetError = (): NodeJS.ErrnoException =>
  Object.assign(new Error('the connection was reset'), { code: resetCode });

/** The address of the peer is gone once the connection has been reset, and not after an orderly end. */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/**
 * Makes a connection report a reset as an error. If the last data and a reset arrive at the same time, libuv
 * reports the end of the data and no error, so that an answer without a length looks complete.
 */
export const reportResets = (connection: Socket): void => {
  const socket = connection;
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    const failure = error;
    if (failure.code === 'ECONNRESET') failure.code = resetCode;
  });
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== 'end' || !isReset(socket)) return emit(event, ...args);
    socket.destroy(resetError());
    return true;
  };
};
