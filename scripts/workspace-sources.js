const { readdirSync } = require('node:fs');
const { join } = require('node:path');

const packages = join(__dirname, '..', 'packages');

/** Name and source of each workspace package, so that tests and bundles need no build. */
module.exports = readdirSync(packages).flatMap((span) =>
  readdirSync(join(packages, span)).map((name) => [
    `@currantdrift/${name}`,
    join(packages, span, name, 'src', 'index.ts'),
  ]),
);
