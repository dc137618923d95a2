import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { renderPage } from '../src/capacity';
import { fitLine, type Slope } from '../src/slopes';

const root = join(__dirname, '../../../..');
const page = readFileSync(join(root, 'docs/CAPACITY.md'), 'utf8');
const slopes: readonly Slope[] = JSON.parse(
  readFileSync(join(__dirname, '../results/slopes.json'), 'utf8'),
);

// Guards against a page whose tables were edited by hand or not generated after a measurement.
test('the page has the tables of the measured slopes', () => {
  expect(renderPage(page, slopes)).toBe(page);
});

// Guards against a check that passes whatever the page says.
test('a changed slope changes the page', () => {
  const changed = slopes.map((slope) => ({
    ...slope,
    fit: { ...slope.fit, slope: slope.fit.slope * 2 + 1 },
  }));
  expect(renderPage(page, changed)).not.toBe(page);
});

// Guards against slopes that no longer follow from the values beside them.
test('each fit follows from its sizes and values', () => {
  slopes.forEach(({ fit, sizes, values }) => {
    const again = fitLine(sizes, values);
    const scale = Math.max(...values.map(Math.abs), 1);
    expect(Math.abs(again.intercept - fit.intercept) / scale).toBeLessThan(0.01);
  });
});

// Guards against a line through too few points, which has no residual to judge it by.
test('a line needs three sizes', () => {
  expect(() => fitLine([1, 2], [1, 2])).toThrow(RangeError);
  expect(fitLine([1, 2, 3], [3, 5, 7])).toEqual({ slope: 2, intercept: 1, residual: 0 });
});

// Guards against a script that reports an old page as current.
test('the check exits with 1 on a page that differs', () => {
  const script = `
    const fs = require('node:fs');
    const read = fs.readFileSync;
    const differs = (file) => String(file).endsWith('CAPACITY.md');
    fs.readFileSync = (file, ...rest) =>
      differs(file) ? read(file, ...rest).replace('| slope |', '| slop |') : read(file, ...rest);
    process.argv.push('capacity', '--check');
    require(${JSON.stringify(join(__dirname, '../bin/capacity.js'))});
  `;
  const { status, stderr } = spawnSync(process.execPath, ['-e', script], { encoding: 'utf8' });
  expect({ status, stderr }).toEqual({
    status: 1,
    stderr: 'docs/CAPACITY.md differs from slopes.json; run bin/capacity.js\n',
  });
});
