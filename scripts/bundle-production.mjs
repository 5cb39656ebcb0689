// Writes the controller of an earlier version as one module, test/fixtures/controllers/COMMIT.mjs, so
// that tests can run it beside this tree's without the history of the repository.
// Usage: node scripts/bundle-production.mjs COMMIT
import { execFileSync } from 'node:child_process';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { build } from 'esbuild';

/** What tests use of each module; a module that the version does not have is left out. */
const EXPORTS = {
  'control/controller': ['Controller'],
  'http/client': ['NoAnswer'],
  'jobs/live': ['Job'],
  'jobs/records': ['parseJob', 'parseRental'],
  'jobs/run-reader': ['readRuns'],
  'peer/frames': ['Decoder', 'encode'],
  'settings/operator': ['OPERATOR_DEFAULTS'],
  'wire/report': ['parseReport', 'redirectAnswer', 'reportAnswer'],
};

const ABBREVIATED = 7;

const commit = execFileSync('git', ['rev-parse', '--verify', `${process.argv[2]}^{commit}`], {
  encoding: 'utf8',
}).trim();
const short = commit.slice(0, ABBREVIATED);
const sources = mkdtempSync(join(tmpdir(), `bundle-${short}-`));
try {
  const archive = execFileSync('git', ['archive', commit, 'src', 'tsconfig.json']);
  execFileSync('tar', ['-x', '-C', sources], { input: archive });
  const lines = Object.entries(EXPORTS)
    .filter(([module]) => existsSync(join(sources, 'src', `${module}.ts`)))
    .map(([module, names]) => `export { ${names.join(', ')} } from './src/${module}.js';`);
  const entry = join(sources, 'entry.ts');
  writeFileSync(entry, lines.join('\n'));
  await build({
    entryPoints: [entry],
    outfile: resolve('test/fixtures/controllers', `${short}.mjs`),
    // The output names modules by their paths, and must not depend on where they were unpacked.
    absWorkingDir: sources,
    bundle: true,
    // Packages are those of this tree: both versions rest on the same.
    packages: 'external',
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: {
      js: [
        `// The controller of commit ${commit}, as a fixture of the tests of mixed versions.`,
        `// Made by: node scripts/bundle-production.mjs ${short}`,
        '// Do not edit: a fault of an earlier version cannot be mended here.',
      ].join('\n'),
    },
    logLevel: 'warning',
  });
} finally {
  rmSync(sources, { recursive: true });
}
