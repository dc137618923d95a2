// A client as PROTOCOL.md describes it ("Ingress", "Requests", "Answers"). It doesn't retry.
import { request as httpRequest } from 'node:http';

let count = 0;

/** An id that no other attempt has. */
export const nextId = () => {
  count += 1;
  return count.toString(16).padStart(4, '0') + process.hrtime.bigint().toString(16).slice(-12);
};

/**
 * Sends one request and reads its whole answer. `outcome` is `answered` if the answer is complete in the
 * protocol (by its length, its last chunk or an orderly end of its connection), otherwise `broken`.
 */
export const send = (
  gateway,
  note,
  {
    path,
    id = nextId(),
    method = 'POST',
    headers = {},
    body = '{}',
    deadlineMs = 15_000,
    onResponse,
  },
) =>
  new Promise((resolve) => {
    note('sent', { id, machine: gateway.name, path });
    const pieces = [];
    let response;
    let isSettled = false;
    const settle = (outcome, error) => {
      if (isSettled) return;
      isSettled = true;
      const text = Buffer.concat(pieces);
      const status = response?.statusCode;
      note(outcome, { id, status, bytes: text.length, ...(error && { error: error.code }) });
      resolve({ id, outcome, status, body: text, headers: response?.headers });
    };
    const request = httpRequest({
      host: gateway.host,
      port: gateway.front,
      method,
      path,
      agent: false,
      headers: {
        host: 'lanes.example',
        'currantdrift-request-id': id,
        'currantdrift-deadline-ms': String(deadlineMs),
        'content-length': Buffer.byteLength(body),
        ...headers,
      },
    });
    request.on('error', (error) => settle('broken', error));
    request.on('response', (message) => {
      response = message;
      message.on('error', (error) => settle('broken', error));
      message.on('close', () => settle(message.complete ? 'answered' : 'broken'));
      message.on('end', () => settle(message.complete ? 'answered' : 'broken'));
      if (onResponse === undefined) message.on('data', (piece) => pieces.push(piece));
      else onResponse(message, (piece) => pieces.push(piece));
    });
    request.end(body);
  });
