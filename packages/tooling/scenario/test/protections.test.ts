import { deploymentOf, type Protection, runScenario } from '../src';
import { files, read, violated } from './files';

const pairs = files.flatMap((file) =>
  deploymentOf(read(file)).failsWithout.map((off) => [file, off as Protection] as const),
);

// Guards against scenarios that would hold even without the protection that they are about.
describe('scenarios with a protection off', () => {
  it.each(pairs)(
    '%s fails without %s',
    async (file, off) => {
      const { verdicts } = await runScenario(read(file), { off });
      expect(violated(verdicts)).not.toEqual([]);
    },
    20_000,
  );
});
