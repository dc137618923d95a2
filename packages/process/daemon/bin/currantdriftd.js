#!/usr/bin/env node
const { main } = require('../dist');

main(process.argv.slice(2)).then((code) => {
  // Exit explicitly: a peer connection that fails to close must not keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
});
