import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import type { Output } from './main';

/** Root of the repository. */
const root = join(__dirname, '../../../..');

/** Tests that read the environment variable `FUZZ_SEED`. */
const testPaths = ['packages/request', 'packages/version/bundle'] as const;

/** Runs the property tests of the packages with each seed; gives the number that failed. */
export const runDifferential = async (
  { seeds, first }: { readonly seeds: number; readonly first: number },
  output: Output,
): Promise<number> => {
  const list = Array.from({ length: seeds }, (_, index) => first + index);
  const failed = list.filter((seed) => {
    const { status, stderr } = spawnSync('npx', ['jest', '--ci', '--maxWorkers=2', ...testPaths], {
      cwd: root,
      env: { ...process.env, FUZZ_SEED: String(seed) },
      encoding: 'utf8',
    });
    if (status === 0) return false;
    output.out(`property tests with FUZZ_SEED=${seed} failed:\n${stderr}`);
    return true;
  });
  output.out(`property tests: ${seeds} seeds from ${first}, ${failed.length} failed`);
  return failed.length;
};
