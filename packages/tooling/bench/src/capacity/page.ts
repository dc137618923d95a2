import type { Slope } from '../slopes';
import { type Estimate, estimatesOf } from './estimates';

const format = (value: number): string =>
  Number(value.toPrecision(3)).toLocaleString('en-US', { maximumSignificantDigits: 3 });

const table = (head: readonly string[], rows: readonly (readonly string[])[]): string =>
  [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`).join('\n');

const slopeTable = (slopes: readonly Slope[]): string =>
  table(
    [
      'slope',
      'unit',
      'over',
      'sizes',
      'measured',
      'slope',
      'intercept',
      'residual',
      'load',
      'method',
    ],
    slopes.map(({ name, unit, per, sizes, values, fit, loadAverage, method }) => [
      name,
      unit,
      per,
      sizes.join(', '),
      values.map(format).join('; '),
      format(fit.slope),
      format(fit.intercept),
      format(fit.residual),
      format(loadAverage),
      method,
    ]),
  );

const verdict = ({ limit, value }: Estimate): string => {
  if (limit === undefined) return '';
  return value <= limit ? 'within' : '**misses**';
};

const estimateTable = (estimates: readonly Estimate[]): string =>
  table(
    ['what', 'at the target size', 'limit', '', 'extrapolated from'],
    estimates.map((estimate) => [
      estimate.what,
      `${format(estimate.value)} ${estimate.unit}`,
      estimate.limit === undefined ? '' : `${format(estimate.limit)} ${estimate.unit}`,
      verdict(estimate),
      estimate.from,
    ]),
  );

const machineLine = (slopes: readonly Slope[]): string => {
  const machines = new Set(
    slopes.map(({ machine }) => `${machine.cores} cores, Node ${machine.node}`),
  );
  const dates = slopes.map(({ date }) => date).sort();
  return `Measured on: ${[...machines].join('; ')}; ${dates[0]} to ${dates[dates.length - 1]}.`;
};

/** Replaces what stands between the markers of each generated part; throws if one is missing. */
export const renderPage = (page: string, slopes: readonly Slope[]): string => {
  const parts = {
    machine: machineLine(slopes),
    slopes: slopeTable(slopes),
    estimates: estimateTable(estimatesOf(slopes)),
  };
  return Object.entries(parts).reduce((text, [name, part]) => {
    const [start, end] = [`<!-- ${name}: generated -->`, `<!-- ${name}: end -->`];
    const [from, to] = [text.indexOf(start), text.indexOf(end)];
    if (from < 0 || to < from) throw new Error(`the page has no part between ${start} and ${end}`);
    return `${text.slice(0, from + start.length)}\n${part}\n${text.slice(to)}`;
  }, page);
};
