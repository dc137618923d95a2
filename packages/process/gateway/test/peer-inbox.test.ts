import { type Message, type Peers, NoopTelemetry } from '@currantdrift/core';
import { z } from 'zod';
import { PeerInbox } from '../src/connection/peer-inbox';

const schema = z.object({ kind: z.literal('load'), count: z.number() });

const inbox = () => {
  const handlers = new Map<string, (message: Message, from: string) => unknown>();
  const peers = {
    onRequest: (kind: string, handler: (message: Message, from: string) => unknown) =>
      handlers.set(kind, handler),
  } as unknown as Peers;
  const lines: unknown[] = [];
  const telemetry = Object.assign(NoopTelemetry.create(), {
    log: (event: string, fields: object) => lines.push({ event, ...fields }),
  });
  const send = (message: object) => handlers.get('load')?.(message as Message, '127.0.0.9:1');
  return { inbox: PeerInbox.create(peers, telemetry), send, lines };
};

// Guards against messages of another version that are dropped silently.
test('a malformed notification changes nothing and is logged', () => {
  const { inbox: one, send, lines } = inbox();
  const taken: number[] = [];
  one.onNotification('load', schema, ({ count }) => taken.push(count));
  expect(send({ kind: 'load', count: 3 })).toEqual({ kind: 'ok' });
  expect(send({ kind: 'load', count: 'many' })).toEqual({ kind: 'ok' });
  expect(taken).toEqual([3]);
  expect(lines).toMatchSnapshot();
});

test('the response to a malformed request, or without a result, is elsewhere', () => {
  const { inbox: one, send, lines } = inbox();
  one.onRequest('load', schema, ({ count }) => (count > 1 ? { kind: 'done' } : undefined));
  expect(send({ kind: 'load', count: 2 })).toEqual({ kind: 'done' });
  expect(send({ kind: 'load', count: 1 })).toEqual({ kind: 'elsewhere' });
  expect(lines).toEqual([]);
  expect(send({ kind: 'load' })).toEqual({ kind: 'elsewhere' });
  expect(lines).toHaveLength(1);
});
