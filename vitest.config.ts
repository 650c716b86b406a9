import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['{packages/*,platform}/src/__tests__/{unit,golden,soak}/**/*.test.ts'],
    server: { deps: { inline: [/clipanion/] } },
    reporters: ['default', './tools/countReporter.mjs'],
    testTimeout: 30_000,
  },
  resolve: {
    alias: [
      {
        find: '@cactusrun/platform-adapter',
        replacement: `${import.meta.dirname}/platform/src/index.ts`,
      },
      {
        find: /^@cactusrun\/([a-z-]+)$/,
        replacement: `${import.meta.dirname}/packages/$1/src/index.ts`,
      },
    ],
  },
});
