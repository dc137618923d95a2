// Decides after a failed run of the tests whether all failures are listed in KNOWN-RED.txt.
const { readFileSync } = require('node:fs');
const { join } = require('node:path');

const root = join(__dirname, '..');

const read = (...path) => readFileSync(join(root, ...path), 'utf8');

const known = new Set(
  read('KNOWN-RED.txt')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim()),
);
const { suites, tests } = JSON.parse(read('target', 'failed-tests.json'));
tests
  .filter((test) => known.has(test))
  .forEach((test) => console.log(`known red, passed over: ${test}`));
const isKnown = suites === 0 && tests.length > 0 && tests.every((test) => known.has(test));
process.exitCode = isKnown ? 0 : 1;
