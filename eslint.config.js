import js from '@eslint/js';
import tsdoc from 'eslint-plugin-tsdoc';
import tseslint from 'typescript-eslint';

/** Folders whose modules are pure: no I/O, timers, wall clock or global randomness. */
const PURE_FOLDERS = [
  'core',
  'charts',
  'preset',
  'health',
  'routing',
  'probing',
  'limits',
  'retries',
  'recovery',
  'membership',
  'engine',
  'timeline',
  'routes',
  'registry',
  'fleet',
  'load',
  'delivery',
  'relay',
  'memory',
  'admission',
];

/** The folder of the users' platform is for the program's entry point only. */
const PLATFORM_PATTERN = {
  regex: '^(\\.\\./)+platform/',
  message: 'Only platform/main.ts uses the folder platform/.',
};

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      '**/generated/**',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    files: ['**/*.ts'],
    plugins: {tsdoc},
    rules: {
      'tsdoc/syntax': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
      ],
      eqeqeq: 'error',
      'prefer-const': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        {selector: 'function', format: ['camelCase', 'PascalCase']},
      ],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/restrict-template-expressions': 'off',
    },
  },
  {
    files: ['src/**/*.ts', 'bench/**/*.ts', 'tests/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {patterns: [PLATFORM_PATTERN]}],
    },
  },
  {
    files: PURE_FOLDERS.map(folder => `src/${folder}/**/*.ts`),
    ignores: ['**/*_test.ts', 'src/core/system_clock.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'performance',
        'process',
        'fetch',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'Math', property: 'random'},
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            PLATFORM_PATTERN,
            {
              group: [
                'inversify',
                'node:net',
                'node:http',
                'node:dgram',
                'node:child_process',
                'node:timers*',
              ],
            },
          ],
        },
      ],
    },
  },
  {
    files: ['**/*_test.ts'],
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
);
