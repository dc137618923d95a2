import { describeParseError, parseScenario } from '../src';

const settings = [
  'domain perth-north region perth daemons 2',
  'engine writer-1 in perth-north pool writer memory 80GB',
  'model quote-7 pool writer bytes 20GB replicas 2',
];

const mistakeIn = (...lines: readonly string[]): string =>
  parseScenario('some.scenario', [...settings, ...lines].join('\n')).match(
    () => 'no mistake',
    describeParseError,
  );

// Guards against scenario files that silently do something else than they say.
describe('parser', () => {
  it('reads settings, steps and expectations', () => {
    const source = [
      '# A comment.',
      ...settings,
      '',
      'at 1.5s cut perth-north from store # in the middle',
      'at 2s burst 3 requests for quote-7 at all tokens 5',
      'at 3s expect replicas quote-7 <= 2',
      'always engine memory within limits',
    ].join('\n');
    const { steps, expectations } = parseScenario('some.scenario', source)._unsafeUnwrap();
    expect({ steps, expectations }).toMatchSnapshot();
  });

  it.each([
    ['a mistyped first word', 'alwys answers whole'],
    ['a mistyped verb', 'at 1s paus daemon north-1 2s'],
    ['an unknown name', 'at 1s kill daemon north-3'],
    ['a mistyped name', 'at 1s host writr-1 leaving'],
    ['a time without a unit', 'at 1 store down'],
    ['a duration without a unit', 'at 1s store latency 400'],
    ['a line that ends too early', 'at 1s rollout'],
    ['a word too many', 'at 1s store down now'],
    ['a wrong operator', 'always replicas quote-7 < 2'],
    ['an unknown protection', 'fails without part-check'],
    ['a name that is declared twice', 'model quote-7 pool writer bytes 20GB replicas 2'],
    ['no expectation at all', 'at 1s store down'],
  ])('names the line and what is expected for %s', (_what, line) => {
    expect(mistakeIn(line)).toMatchSnapshot();
  });

  it('refuses a setting after the first step', () => {
    expect(mistakeIn('at 1s store down', 'seed 3')).toMatchSnapshot();
  });
});
