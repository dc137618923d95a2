import { parseScenario, runScenario } from '../src';
import { main } from '../src/main';
import { read } from './files';

const collect = async (...args: readonly string[]) => {
  const out: string[] = [];
  const err: string[] = [];
  const output = {
    out: (text: string) => out.push(text),
    err: (text: string) => err.push(text.split('\n')[0]),
  };
  const code = await main(args, output);
  return { code, out, err };
};

describe('runner', () => {
  // Guards against time, randomness or order from outside the virtual clock and the seed.
  it('gives the same trace for the same seed and another one for another seed', async () => {
    const scenario = read('g1-lost-store-answers.scenario');
    const first = await runScenario(scenario, { seed: 7 });
    const again = await runScenario(scenario, { seed: 7 });
    const other = await runScenario(scenario, { seed: 8 });
    expect(again.trace).toEqual(first.trace);
    expect(again.hash).toBe(first.hash);
    expect(other.hash).not.toBe(first.hash);
  }, 20_000);

  // Guards against a checker that accepts everything.
  it('reports what was seen when an expectation does not hold', async () => {
    const source = [
      'run 5s',
      'domain perth-north region perth daemons 1',
      'engine writer-1 in perth-north pool writer memory 80GB',
      'model quote-7 pool writer bytes 20GB replicas 1',
      'checkpoint quote-7 at writer-1 on memory',
      'at 0s burst 2 requests for quote-7 at all deadline 10s',
      'at 3s expect requests answered = 3',
      'always replicas quote-7 = 0',
      'always requests end by deadline',
    ].join('\n');
    const report = await runScenario(parseScenario('own.scenario', source)._unsafeUnwrap());
    expect(report.verdicts.map(({ holds, detail }) => ({ holds, detail }))).toMatchSnapshot();
  });

  it.each([
    ['no file', []],
    ['a file that is not there', ['nowhere.scenario']],
    ['a mistyped protection', ['--off', 'engine-fencin', 'some.scenario']],
    ['a seed that is no number', ['--seed', 'x', 'some.scenario']],
    ['an unknown option', ['--sed', '1', 'some.scenario']],
  ])('exits with 2 for %s', async (_what, args) => {
    expect(await collect(...args)).toMatchSnapshot();
  });
});
