import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

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
  {
    files: ['scripts/**', '*.js'],
    languageOptions: { globals: { console: 'readonly', process: 'readonly' } },
  },
);
