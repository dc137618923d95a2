// Bundles programs into files below target/: node scripts/bundle.mjs NAME...
import { execFileSync } from 'node:child_process';
import { copyFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const target = join(root, 'target');

const workspaceSources = createRequire(import.meta.url)('./workspace-sources');

/** Options with which deploy/system.toml starts the gateway; compiled code is valid for these only. */
const gatewayOptions = ['--max-old-space-size=192'];

/** Leaves the parts of undici out that the HTTP client does not use; they are most of a start. */
const undiciPool = {
  name: 'undici-pool',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici-pool', namespace: 'undici-pool' }));
    onLoad({ filter: /.*/, namespace: 'undici-pool' }, () => ({
      contents: `
        module.exports.Pool = require('undici/lib/dispatcher/pool.js');
        module.exports.buildConnector = require('undici/lib/core/connect.js');`,
      resolveDir: root,
    }));
  },
};

const bundle = (source, outfile, plugins = []) =>
  build({
    entryPoints: [join(root, source)],
    outfile: join(target, outfile),
    bundle: true,
    minifySyntax: true,
    minifyWhitespace: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    alias: Object.fromEntries(workspaceSources),
    plugins,
    // Optional native parts of ws and msgpackr; both work without them.
    external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
  });

const programs = {
  gateway: async () => {
    const name = 'currantdrift-gateway';
    await bundle('platform/src/main.ts', `${name}.bundle.cjs`, [undiciPool]);
    copyFileSync(join(root, 'scripts', 'cached-start.cjs'), join(target, `${name}.cjs`));
    const compile = join(root, 'scripts', 'compile-bundle.cjs');
    const args = [...gatewayOptions, compile, join(target, `${name}.bundle.cjs`)];
    execFileSync(process.execPath, args, { stdio: 'inherit' });
  },
  soak: () => bundle('platform/soak/main.ts', 'soak.cjs'),
};

const names = process.argv.slice(2);
const unknown = names.filter((name) => programs[name] === undefined);
if (names.length === 0 || unknown.length > 0) {
  console.error(
    `usage: node scripts/bundle.mjs NAME...; known: ${Object.keys(programs).join(', ')}`,
  );
  process.exitCode = 2;
} else await Promise.all(names.map((name) => programs[name]()));
