import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { Head } from './exchange';

/** No Content, Not Modified: these answers have no body, so nothing has to mark its end. */
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Whether only the end of its connection marks the end of an endpoint's answer. */
export const endsWithConnection = ({ status, headers }: Head): boolean =>
  headers['content-length'] === undefined &&
  headers['transfer-encoding'] === undefined &&
  !statusesWithoutBody.has(status);

/**
 * Begins a response that ends with its connection, as the endpoint's answer did. Whether that was complete
 * cannot be determined, so neither a length nor chunks may mark it as complete.
 */
export const beginUnmarked = (
  outgoing: ServerResponse,
  status: number,
  headers: OutgoingHttpHeaders,
): void => {
  const response = outgoing;
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(status, headers);
};
