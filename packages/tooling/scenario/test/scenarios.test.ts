import { runScenario } from '../src';
import { files, read, violated } from './files';

// Guards against violations of the guarantees G1 to G9 under faults.
describe('scenarios', () => {
  it.each(files)(
    '%s holds',
    async (file) => {
      const { verdicts } = await runScenario(read(file));
      expect(violated(verdicts)).toEqual([]);
    },
    20_000,
  );
});
