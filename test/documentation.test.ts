import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';

const root = new URL('../../../', import.meta.url);

const sources = ['src', 'packages', 'test', 'scripts'].flatMap((folder) =>
  (readdirSync(new URL(folder, root), { recursive: true }) as string[])
    .filter((file) => !/node_modules|target|fixtures/.test(file))
    .map((file) => `${folder}/${file}`),
);

const exists = (path: string): boolean =>
  existsSync(new URL(path, root)) || sources.some((file) => file.endsWith(`/${path}`));

/** The paths of source files and folders that a page names in backticks or in a diagram. */
function pathsIn(page: string): string[] {
  const text = readFileSync(new URL(page, root), 'utf8');
  const quoted = [...text.matchAll(/`([^`\n]+)`/g)].map(([, name]) => name!);
  const drawn = [...text.matchAll(/\b(?:src|packages|scripts)\/[\w./-]+\.m?ts\b/g)].map(
    ([match]) => match,
  );
  return [
    ...quoted.filter((name) => /^[\w./-]+\.m?[jt]s$|^(src|packages)\/[\w./-]+$/.test(name)),
    ...drawn,
  ];
}

for (const page of [
  'docs/architecture.md',
  'docs/glossary.md',
  'docs/fault-scenarios.md',
  'docs/design.md',
]) {
  test(`${page} names only files that exist`, () => {
    const paths = pathsIn(page);
    assert.ok(paths.length > 0);
    assert.deepEqual(
      paths.filter((path) => !path.includes('*') && !exists(path)),
      [],
    );
  });
}

test('docs/architecture.md names only classes and members that exist', () => {
  const text = readFileSync(new URL('docs/architecture.md', root), 'utf8');
  const code = sources
    .filter((file) => file.endsWith('.ts') && !file.startsWith('test/'))
    .map((file) => readFileSync(new URL(file, root), 'utf8'))
    .join('\n');
  const names = [...text.matchAll(/`([A-Z]\w+)(?:\.(\w+))?`/g)].flatMap(([, name, member]) => [
    name!,
    ...(member === undefined ? [] : [member]),
  ]);
  const missing = names.filter((name) => !new RegExp(`\\b${name}\\b`).test(code));
  assert.ok(names.length > 0);
  assert.deepEqual(missing, []);
});
