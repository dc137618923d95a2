import {
  describeParseError,
  parseScenario,
  type Protection,
  runScenario,
} from '@currantdrift/scenario';
import { err, ok, type Result } from 'neverthrow';
import { type Plan, textOf } from './plan';

/** Expectations that a run violated, one line each. */
export type Violations = readonly string[];

const killed = /^\S+ (?:kill|restart) daemon (\S+)$/;

const stopping = /^\S+ stop daemon (\S+)$/;

const stopped = /^(\S+) (\S+) stopped with /;

const closed = /^(\S+) \S+ of \S+ at (\S+): closed/;

/** Time at which each daemon had ended after a planned stop, as the trace writes it. */
const endsOfStops = (trace: readonly string[]): ReadonlyMap<string, number> => {
  const killedDaemons = trace.flatMap((line) => killed.exec(line)?.[1] ?? []);
  const daemons = trace
    .flatMap((line) => stopping.exec(line)?.[1] ?? [])
    .filter((daemon) => !killedDaemons.includes(daemon));
  const ends = trace.flatMap((line): [string, number][] => {
    const found = stopped.exec(line);
    return found === null ? [] : [[found[2], Number(found[1])]];
  });
  return new Map([...daemons.map((daemon): [string, number] => [daemon, Infinity]), ...ends]);
};

/**
 * Answers that a planned stop cut off. The expectation of the language asks that each open request
 * is answered, which other faults can prevent; here only closed connections count.
 */
const cutByStops = (trace: readonly string[]): Violations => {
  if (trace.some((line) => line.includes('kill controller of'))) return [];
  const ends = endsOfStops(trace);
  return trace
    .filter((line) => {
      const found = closed.exec(line);
      return found !== null && Number(found[1]) <= (ends.get(found[2]) ?? -Infinity);
    })
    .map((line) => `streams uncut by stops: ${line}`);
};

/** Runs a plan; the error says why it could not be run. */
export const check = async (plan: Plan, off?: Protection): Promise<Result<Violations, string>> => {
  const parsed = parseScenario(`seed-${plan.seed}.scenario`, textOf(plan));
  if (parsed.isErr()) return err(describeParseError(parsed.error));
  try {
    const { verdicts, trace } = await runScenario(parsed.value, off === undefined ? {} : { off });
    const violated = verdicts
      .filter(({ holds }) => !holds)
      .map(({ expectation, detail }) => `${expectation.text}: ${detail}`);
    return ok([...violated, ...cutByStops(trace)]);
  } catch (error) {
    return ok([`the run threw: ${error instanceof Error ? error.message : String(error)}`]);
  }
};
