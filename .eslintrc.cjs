module.exports = {
  root: true,
  parser: '@typescript-eslint/parser',
  parserOptions: { project: './tsconfig.tests.json', tsconfigRootDir: __dirname },
  extends: ['airbnb-base', 'airbnb-typescript/base', 'prettier'],
  ignorePatterns: ['dist', 'generated', '*.cjs', '*.mjs'],
  rules: {
    // Sources are ES modules with NodeNext resolution: relative imports end in `.js`, and the
    // compiler checks that they resolve.
    'import/extensions': 'off',
    'import/no-unresolved': 'off',
    'import/no-extraneous-dependencies': 'off',
    '@typescript-eslint/consistent-type-imports': 'error',
    // Files start with their export; helper functions, which are hoisted, follow it.
    '@typescript-eslint/no-use-before-define': [
      'error',
      { functions: false, classes: true, variables: true },
    ],
    // The parser library passes a handler one argument for each part of a rule, used or not.
    '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
    // Names that Node's streams, the parser library and the schema library prescribe.
    'no-underscore-dangle': [
      'error',
      { allow: ['_read', '_destroy', '_terminal', '_iter', '_default', '_handle'] },
    ],
    'sort-imports': ['error', { ignoreDeclarationSort: true, ignoreCase: true }],
  },
  overrides: [{ files: ['**/__tests__/**'], rules: { 'class-methods-use-this': 'off' } }],
};
