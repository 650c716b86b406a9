import { configDefaults, defineConfig } from 'vitest/config';
import { listKnownRed } from './tools/listKnownRed.mjs';

/** Test files that are passed over; `KNOWN_RED=run` runs them. */
const passedOver = process.env.KNOWN_RED === 'run' ? [] : listKnownRed();
passedOver.forEach((path) => process.stdout.write(`passed over (KNOWN-RED.txt): ${path}\n`));

export default defineConfig({
  test: {
    include: ['{packages/*,platform}/src/__tests__/{unit,golden,soak}/**/*.test.ts'],
    exclude: [...configDefaults.exclude, ...passedOver],
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
