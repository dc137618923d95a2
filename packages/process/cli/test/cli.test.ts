import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { mkdtempSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { run } from '@currantdrift/cli';

const invoke = async (...words: string[]) => {
  const lines: string[] = [];
  const take = (text: string) => lines.push(text);
  const code = await run(words, { out: take, err: take });
  return { code, text: lines.join('\n') };
};

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'currantdrift-'));
});

afterEach(() => rmSync(folder, { recursive: true }));

// Guards against commands that are missing from the help.
test('shows the help', async () => {
  expect(await invoke('--help')).toMatchSnapshot();
  expect(await invoke('bundle', 'propose', '--help')).toMatchSnapshot();
});

// Guards against typos without a suggestion, and against changes to exit codes that scripts use.
test('answers mistakes with the nearest valid word', async () => {
  const mistakes = [
    await invoke('bundel', 'chek'),
    await invoke('statsu'),
    await invoke('status', '--jsn'),
    await invoke('bundle', 'check'),
    await invoke('bundle', 'propose', 'x.json'),
    await invoke('status', '--url', 'nonsense', '--token', 't'),
  ];
  expect(mistakes).toMatchSnapshot();
});

// Guards against private keys that other users can read.
test('writes private keys for their owner alone', async () => {
  const name = join(folder, 'nino');
  expect((await invoke('keys', 'generate', name)).code).toBe(0);
  // eslint-disable-next-line no-bitwise -- permission bits
  expect(statSync(`${name}.key`).mode & 0o777).toBe(0o600);
  expect((await invoke('keys', 'generate', name)).code).toBe(1);
});

// Guards against reporting only the first validation issue of a bundle.
test('lists every mistake of a bundle', async () => {
  const file = join(folder, 'bundle.json');
  writeFileSync(file, JSON.stringify({ version: 0, previous: null, domains: [], callers: 1 }));
  const { code, text } = await invoke('bundle', 'check', file);
  expect(code).toBe(1);
  expect(text.replaceAll(folder, '')).toMatchSnapshot();
});

// Guards against reporting an unreachable daemon as a failed command.
test('tells a daemon that cannot be reached by its exit code', async () => {
  const { code } = await invoke('status', '--url', 'http://127.0.0.1:9', '--token', 't');
  expect(code).toBe(5);
});

// Guards against reporting a change as not made although the daemon may have made it.
test('tells a change whose answer was lost by its exit code', async () => {
  const server = createServer((incoming) => incoming.socket.destroy());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const changed = await invoke('drain', 'writer-1', '--url', url, '--token', 't');
  const asked = await invoke('status', '--url', url, '--token', 't');
  server.close();
  expect([changed.code, asked.code]).toEqual([4, 5]);
});
