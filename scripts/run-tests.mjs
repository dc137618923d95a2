// Runs the tests, and after them those that measure what a process uses, apart from other load.
import { spawnSync } from 'node:child_process';
import { createRequire } from 'node:module';

const jest = createRequire(import.meta.url).resolve('jest/bin/jest');

const apart = 'platform/test/untrusted-clients';

const run = (args, part) =>
  spawnSync(process.execPath, [jest, '--ci', ...args], {
    stdio: 'inherit',
    env: { ...process.env, TEST_PART: part },
  }).status ?? 1;

const first = run([`--testPathIgnorePatterns=/node_modules/|${apart}`], 'first');
const second = run(['--runInBand', apart], 'second');
process.exitCode = first || second;
