import { readFileSync } from 'node:fs';
import eslint from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

const SOURCES = ['src/**/*.ts', 'packages/*/src/**/*.ts'];

/** Modules that the strict rules do not hold for yet. The list only shrinks; docs/ROADMAP.md names it. */
const NOT_DONE = JSON.parse(
  readFileSync(new URL('./eslint-exceptions.json', import.meta.url), 'utf8'),
);

/** Type-aware rules and bounds of size, for the sources that have been brought to them. */
const strict = {
  files: SOURCES,
  ignores: NOT_DONE,
  extends: [...tseslint.configs.recommendedTypeChecked, ...tseslint.configs.stylisticTypeChecked],
  plugins: { jsdoc },
  languageOptions: {
    parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
  },
  rules: {
    '@typescript-eslint/no-non-null-assertion': 'error',
    '@typescript-eslint/switch-exhaustiveness-check': 'error',
    // Private duties are `async` to turn what they throw into a rejection.
    '@typescript-eslint/require-await': 'off',
    'id-length': ['error', { min: 2, exceptions: ['a', 'b', 'i', 'j', 'T', 'z'] }],
    'max-lines-per-function': ['error', { max: 50, skipBlankLines: true, skipComments: true }],
    'max-params': ['error', { max: 6 }],
    complexity: ['error', 12],
    'jsdoc/require-jsdoc': [
      'error',
      {
        publicOnly: true,
        enableFixer: false,
        require: { ClassDeclaration: true, FunctionDeclaration: true },
        contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'TSEnumDeclaration'],
      },
    ],
  },
};

export default tseslint.config(
  {
    ignores: [
      'target/',
      'packages/*/target/',
      'journal/',
      'node_modules/',
      'test/fixtures/controllers/',
    ],
  },
  eslint.configs.recommended,
  ...tseslint.configs.recommended,
  strict,
  {
    files: ['scripts/**', '*.js'],
    languageOptions: { globals: { console: 'readonly', process: 'readonly', URL: 'readonly' } },
  },
);
