const { join } = require('node:path');
const workspaceSources = require('./scripts/workspace-sources');

const sources = [
  ...workspaceSources,
  ['@currantdrift/users-platform', join(__dirname, 'platform', 'src', 'index.ts')],
];

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
  moduleNameMapper: Object.fromEntries(sources.map(([name, source]) => [`^${name}$`, source])),
  modulePathIgnorePatterns: ['<rootDir>/packages/.*/dist/'],
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'commonjs' } },
    ],
  },
  reporters: ['default', '<rootDir>/scripts/count-reporter.js'],
};
