import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/__tests__/faults/**/*.test.ts'],
    server: { deps: { inline: [/clipanion/] } },
    reporters: ['default', './tools/countReporter.mjs'],
    testTimeout: 300_000,
    hookTimeout: 60_000,
    fileParallelism: false,
  },
});
