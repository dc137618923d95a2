import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

const scripts = ['**/*.js', '**/*.mjs'];
const tests = ['**/test/**/*.ts'];

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'coverage/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: [
          './packages/*/*/tsconfig.json',
          './platform/tsconfig.json',
          './tsconfig.test.json',
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
  },
  {
    rules: {
      // Packages export names only: a default export has no fixed name at its importers.
      'import-x/prefer-default-export': 'off',
      // Connection and peer tasks are loops whose steps wait for each other.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // Classes that implement an interface of the core package need not use `this` in each method.
      'class-methods-use-this': 'off',
      'n/no-sync': 'off',
      '@typescript-eslint/no-empty-function': [
        'error',
        { allow: ['private-constructors', 'arrowFunctions', 'methods'] },
      ],
      'n/no-unsupported-features/node-builtins': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-underscore-dangle': 'off',
    },
  },
  {
    files: scripts,
    rules: { 'no-console': 'off', '@typescript-eslint/no-require-imports': 'off' },
  },
  { files: tests, rules: { 'max-classes-per-file': 'off' } },
  prettier,
];
