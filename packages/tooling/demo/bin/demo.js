const { join } = require('node:path');
const { demo } = require('../dist');

const examples = join(__dirname, '../../../../examples');

/** Runs the examples that are named, or all of them one after the other. */
const main = async (names) => {
  let code = 0;
  for (const name of names.length > 0 ? names : ['mtkvari', 'lustrewell']) {
    code = Math.max(code, await demo(name, examples));
  }
  process.exitCode = code;
};

main(process.argv.slice(2));
