const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { renderPage } = require('../dist');

const pageFile = join(__dirname, '../../../../docs/CAPACITY.md');
const resultFile = join(__dirname, '../results/slopes.json');

/** Writes the generated parts of docs/CAPACITY.md; with `--check` only compares them. */
const main = (args) => {
  const page = readFileSync(pageFile, 'utf8');
  const rendered = renderPage(page, JSON.parse(readFileSync(resultFile, 'utf8')));
  if (!args.includes('--check')) {
    writeFileSync(pageFile, rendered);
  } else if (rendered !== page) {
    console.error('docs/CAPACITY.md differs from slopes.json; run bin/capacity.js');
    process.exitCode = 1;
  }
};

main(process.argv.slice(2));
