import { type ClientRequest, digestOf } from '../src/client-request';

type Content = Pick<ClientRequest, 'method' | 'path' | 'headers' | 'body'>;

const fields = {
  id: 'r1',
  deadlineMs: undefined,
  caller: undefined,
  apiKey: undefined,
  model: undefined,
  adapter: undefined,
  promptTokens: 0,
  maxNewTokens: 0,
  resumesAfter: undefined,
  resumes: undefined,
  promptParts: [],
};

const content = (overrides: Partial<Content> = {}): Content => ({
  method: 'POST',
  path: '/quotes/1?draft=1',
  headers: { host: 'a.example' },
  body: Buffer.from('lamp'),
  ...overrides,
});

// Guards against repeats of a request that pass for other requests, and the other way round.
test('a repeat has the same digest, and only a repeat', () => {
  const first = digestOf(content(), fields);
  const repeats = [
    digestOf(content(), { ...fields, id: 'r2', promptTokens: 7, deadlineMs: 900 }),
    digestOf(content({ headers: { host: 'a.example', 'transfer-encoding': 'chunked' } }), fields),
  ];
  const others = [
    digestOf(content({ path: '/quotes/1?draft=2' }), fields),
    digestOf(content({ method: 'PUT' }), fields),
    digestOf(content({ headers: { host: 'b.example' } }), fields),
    digestOf(content({ body: Buffer.from('damp') }), fields),
    digestOf(content({ body: Buffer.alloc(0) }), fields),
    digestOf(content({ path: '/quotes/1?draft=1l', body: Buffer.from('amp') }), fields),
    digestOf(content(), { ...fields, caller: 'Bearer b' }),
  ];
  expect(repeats).toEqual([first, first]);
  expect(new Set([first, ...others]).size).toBe(1 + others.length);
});
