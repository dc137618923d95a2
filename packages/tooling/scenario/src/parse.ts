import { err, ok, type Result } from 'neverthrow';
import { nearestWord } from '@currantdrift/core';
import { Declared } from './declared';
import { expectationTemplates, settingTemplates, stepTemplates } from './language';
import type { Expectation, Scenario, Statement, Step, Value } from './scenario';
import { matchTemplate, type Mismatch } from './template';

/** A mistake in a scenario file, as `file:line: message`. */
export interface ParseError {
  readonly file: string;
  readonly line: number;
  readonly message: string;
}

/** One line for the user. */
export const describeParseError = ({ file, line, message }: ParseError): string =>
  `${file}:${line}: ${message}`;

const maxListed = 12;

const describeMismatch = (words: readonly string[], { position, ...known }: Mismatch): string => {
  const word = words.at(position);
  const listed = known.words.slice(0, maxListed).map((one) => JSON.stringify(one));
  const expected = [...listed, ...known.kinds].join(', ') || 'nothing declared yet';
  const got =
    word === undefined ? 'the line ends too early' : `${JSON.stringify(word)} is wrong here`;
  const nearest = word === undefined ? undefined : nearestWord(word, known.words);
  const hint = nearest === undefined ? '' : `; did you mean ${JSON.stringify(nearest)}?`;
  return `${got}, expected ${expected}${hint}`;
};

interface Line {
  readonly number: number;
  readonly text: string;
  readonly words: readonly string[];
}

const linesOf = (source: string): Line[] =>
  source
    .split('\n')
    .map((raw, index) => ({ number: index + 1, text: raw.replace(/#.*/, '').trim() }))
    .filter(({ text }) => text !== '')
    .map((line) => ({ ...line, words: line.text.split(/\s+/) }));

const leadWords = [
  'at',
  'always',
  'eventually',
  ...new Set(settingTemplates.map((template) => template.split(' ')[0])),
];

/** Collects the statements of one file. */
class Parser {
  private readonly declared = new Declared();

  private readonly settings: Statement[] = [];

  private readonly steps: Step[] = [];

  private readonly expectations: Expectation[] = [];

  constructor(private readonly file: string) {}

  parse(source: string): Result<Scenario, ParseError> {
    for (const line of linesOf(source)) {
      const parsed = this.line(line);
      if (parsed.isErr()) {
        return err({ file: this.file, line: line.number, message: parsed.error });
      }
    }
    const { file, settings, steps, expectations } = this;
    if (expectations.length === 0) {
      return err({ file, line: 1, message: 'the scenario expects nothing' });
    }
    return ok({ file, settings, steps, expectations });
  }

  private line(line: Line): Result<void, string> {
    const { words } = line;
    switch (words[0]) {
      case 'at':
        return this.timed(line);
      case 'always':
      case 'eventually': {
        const when = words[0];
        return this.match(expectationTemplates, line, 1).andThen((found) => {
          this.expectations.push({ ...found, when, at: 0 });
          return ok(undefined);
        });
      }
      default:
        return this.setting(line);
    }
  }

  private setting(line: Line): Result<void, string> {
    if (!leadWords.includes(line.words[0])) {
      return err(describeMismatch(line.words, { position: 0, words: leadWords, kinds: [] }));
    }
    if (this.steps.length + this.expectations.length > 0) {
      return err('settings come before the first step and the first expectation');
    }
    return this.match(settingTemplates, line, 0).andThen((found) => {
      const twice = this.declared.add(found);
      if (twice !== undefined) return err(`the name ${JSON.stringify(twice)} is used twice`);
      this.settings.push(found);
      return ok(undefined);
    });
  }

  private timed(line: Line): Result<void, string> {
    const [, time = ''] = line.words;
    const at = matchTemplate(['at <time>'], ['at', time], this.declared.known);
    if (at.isErr()) return err(describeMismatch(line.words, at.error));
    const moment = Number(at.value.values.time);
    if (line.words[2] === 'expect') {
      return this.match(expectationTemplates, line, 3).andThen((found) => {
        this.expectations.push({ ...found, when: 'at', at: moment });
        return ok(undefined);
      });
    }
    const templates = [...stepTemplates, 'expect'];
    return this.match(templates, line, 2).andThen((found) => {
      this.steps.push({ ...found, at: moment });
      return ok(undefined);
    });
  }

  private match(
    templates: readonly string[],
    { number, text, words }: Line,
    from: number,
  ): Result<Statement, string> {
    return matchTemplate(templates, words.slice(from), this.declared.known)
      .map(
        ({ template, values }: { template: string; values: Readonly<Record<string, Value>> }) => ({
          line: number,
          text,
          template,
          values,
        }),
      )
      .mapErr((mismatch) =>
        describeMismatch(words, { ...mismatch, position: mismatch.position + from }),
      );
  }
}

/** Parses a scenario; reports the first mistake. */
export const parseScenario = (file: string, source: string): Result<Scenario, ParseError> =>
  new Parser(file).parse(source);
