import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { ManagedProcess } from '../src';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'managed-process-'));
});

afterEach(() => rmSync(folder, { recursive: true, force: true }));

const logFile = () => join(folder, 'p1.log');

const start = async (script: string) => {
  const managed = ManagedProcess.start({ name: 'p1', args: ['-e', script], log: logFile() });
  // The log is opened in the background, and must be before its folder is removed.
  while (!existsSync(logFile())) await sleep(5);
  return managed;
};

const log = () => readFileSync(logFile(), 'utf8');

const ended = async (managed: ManagedProcess) => {
  while (managed.isRunning) await sleep(10);
  while (!log().includes('last')) await sleep(10);
};

// Guards against a process that ends by itself and leaves no trace of why.
test('a process that ends by itself is reported with its log', async () => {
  const failing = await start('console.error("first\\nlast"); process.exitCode = 3;');
  await ended(failing);
  expect(failing.unexpectedExit(2)).toMatchSnapshot();
});

test.each(['stop', 'kill'] as const)('a process that was ended by %s is not', async (end) => {
  const endless = await start('setInterval(() => {}, 1000);');
  expect(endless.unexpectedExit()).toBe(undefined);
  await endless[end]();
  expect(endless.unexpectedExit()).toBe(undefined);
});
