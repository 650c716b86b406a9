/** Bundles the daemon for the platform into one file under `target/`. */
import { build } from 'esbuild';

const packages = ['core', 'gateway', 'requests'];

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/cactusrund.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: false,
  alias: Object.fromEntries(
    packages.map((name) => [`@cactusrun/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  logLevel: 'warning',
});
