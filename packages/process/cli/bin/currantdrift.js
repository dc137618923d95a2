#!/usr/bin/env node
const { run } = require('../dist');

const output = {
  out: (text) => process.stdout.write(`${text}\n`),
  err: (text) => process.stderr.write(`${text}\n`),
};

run(process.argv.slice(2), output).then((code) => {
  process.exitCode = code;
});
