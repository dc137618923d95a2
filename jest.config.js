const { readdirSync } = require('node:fs');
const { join } = require('node:path');

/** Maps each workspace package to its source, so that tests need no build. */
const workspaceSources = () => {
  const root = join(__dirname, 'packages');
  const entries = readdirSync(root).flatMap((span) =>
    readdirSync(join(root, span)).map((name) => [
      `^@currantdrift/${name}$`,
      join(root, span, name, 'src', 'index.ts'),
    ]),
  );
  entries.push(['^@currantdrift/users-platform$', join(__dirname, 'platform', 'src', 'index.ts')]);
  return Object.fromEntries(entries);
};

module.exports = {
  testEnvironment: 'node',
  // Virtual time makes tests independent of the clock; the limit only ends a test that hangs.
  testTimeout: 60_000,
  // The process tests start a dozen processes beside the workers.
  maxWorkers: '50%',
  testMatch: [
    '<rootDir>/packages/*/*/test/**/*.test.ts',
    '<rootDir>/platform/test/**/*.test.ts',
    '<rootDir>/test/**/*.test.ts',
  ],
  moduleNameMapper: workspaceSources(),
  modulePathIgnorePatterns: ['<rootDir>/packages/.*/dist/'],
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'commonjs' } },
    ],
  },
  reporters: ['default', '<rootDir>/scripts/count-reporter.js'],
};
