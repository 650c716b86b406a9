module.exports = {
  root: true,
  parser: '@typescript-eslint/parser',
  parserOptions: { project: './tsconfig.tests.json', tsconfigRootDir: __dirname },
  extends: ['airbnb-base', 'airbnb-typescript/base', 'prettier'],
  ignorePatterns: ['dist', 'generated', '*.cjs', '*.mjs'],
  rules: {
    // Modules are ECMAScript modules of the NodeNext kind: relative imports carry `.js`, and the
    // compiler resolves them.
    'import/extensions': 'off',
    'import/no-unresolved': 'off',
    'import/no-extraneous-dependencies': 'off',
    '@typescript-eslint/consistent-type-imports': 'error',
    // A file has its public item first and its helper functions, which are hoisted, below it.
    '@typescript-eslint/no-use-before-define': [
      'error',
      { functions: false, classes: true, variables: true },
    ],
    // The parser library calls its handlers with one argument for each part of a rule.
    '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
    // Names that Node's streams, the parser library and the schema library call.
    'no-underscore-dangle': [
      'error',
      { allow: ['_read', '_destroy', '_terminal', '_iter', '_default', '_handle'] },
    ],
    'sort-imports': ['error', { ignoreDeclarationSort: true, ignoreCase: true }],
  },
  overrides: [{ files: ['**/__tests__/**'], rules: { 'class-methods-use-this': 'off' } }],
};
