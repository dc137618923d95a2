#!/usr/bin/env node
const { main } = require('../dist');

main(process.argv.slice(2)).then((code) => {
  // A peer connection that does not close must not keep a stopped daemon alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
});
