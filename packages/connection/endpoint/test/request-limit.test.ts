import { type Host, HostKind, type StatedLimit } from '@currantdrift/core';
import { EngineStandin } from '@currantdrift/standins';
import { HttpEndpointConnector } from '../src';

// Guards against a limit that only some calls to an engine make known.
test('each response of an engine tells its request limit', async () => {
  const engine = EngineStandin.create({ items: [{ item: 'a@1', bytes: 60 }], memoryBytes: 100 });
  const address = await engine.listen();
  const connector = HttpEndpointConnector.create();
  const seen: StatedLimit[] = [];
  connector.onLimit((_host, stated) => seen.push(stated));
  const host: Host = {
    name: 'e1',
    kind: HostKind.engine,
    domain: 'north',
    address,
    state: 'live',
    incarnation: 1,
    pool: 'writer',
    fencing: true,
  };
  const endpoint = connector.connect(host);
  const { signal } = new AbortController();
  await endpoint.report(signal);
  engine.setFaults({ requestLimitPerS: 2.5 });
  await endpoint.report(signal);
  await endpoint.cacheEvents(0, signal);
  await endpoint.generate(
    {
      requestId: 'r1',
      attempt: 1,
      item: 'a@1',
      messages: [{ role: 'user', content: 'hello' }],
      maxTokens: 1,
      priority: 5,
      resume: [],
    },
    signal,
  );
  await endpoint.generate(
    {
      requestId: 'r2',
      attempt: 1,
      item: 'absent@1',
      messages: [],
      maxTokens: 1,
      priority: 5,
      resume: [],
    },
    signal,
  );
  await connector.close();
  await engine.close();
  const limit = { kind: 'limit', ratePerS: 2.5 };
  expect(seen).toEqual([{ kind: 'none' }, limit, limit, limit, limit]);
});
