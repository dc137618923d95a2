// Writes the compiled code of a bundle beside it: node scripts/compile-bundle.cjs BUNDLE. The options
// of Node must be those of the later runs, because compiled code is valid for these only.
const { readFileSync, writeFileSync } = require('node:fs');
const { wrap } = require('node:module');
const { resolve } = require('node:path');
const { Script } = require('node:vm');

const bundle = resolve(process.argv[2]);
const script = new Script(wrap(readFileSync(bundle, 'utf8')), { filename: bundle });
// Showing the help runs what every start runs, so that its functions are compiled too.
process.argv = [process.argv[0], bundle, '--help'];
process.stdout.write = () => true;
process.on('exit', () => writeFileSync(`${bundle}.cache`, script.createCachedData()));
const program = { exports: {} };
script.runInThisContext()(program.exports, require, program, bundle, __dirname);
