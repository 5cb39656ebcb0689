import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../src/settings/deploy.js';
import { SettingsError } from '../src/settings/error.js';
import { loadExtensions } from '../src/settings/extensions.js';
import { OPERATOR_DEFAULTS, parseOperatorSettings } from '../src/settings/operator.js';
import { SETTINGS } from './fakes/simulated-cluster.js';

/** The error message for invalid settings: the one line that the operator sees. */
function errorLine(parse: () => unknown): string {
  try {
    parse();
  } catch (error) {
    assert.ok(error instanceof SettingsError);
    assert.ok(error.message.startsWith(`${error.file}: ${error.field ?? ''}`));
    assert.ok(!error.message.includes('\n'));
    return error.message;
  }
  return assert.fail('no error');
}

test('unknown fields are ignored, and 0 as a limit means none', () => {
  const settings = parseSettings(`colour = "green"\n${SETTINGS}`, 'file.toml');
  assert.equal(settings.member, 'berth-0');
  for (const team of settings.teams.values()) assert.equal(team.limit.cpus, Infinity);
});

test('a missing field, a wrong one and a malformed file give one line with file and field', () => {
  const withoutMember = SETTINGS.replace(/^member = .*$/m, '');
  assert.match(
    errorLine(() => parseSettings(withoutMember, 'file.toml')),
    /^file\.toml: member: /,
  );
  const invalid = SETTINGS.replace(/^lease_s = .*$/m, 'lease_s = "long"');
  assert.match(
    errorLine(() => parseSettings(invalid, 'file.toml')),
    /^file\.toml: facts\.workers\.lease_s: /,
  );
  assert.match(
    errorLine(() => parseSettings('member = ', 'file.toml')),
    /^file\.toml: /,
  );
});

test('settings that cannot work are rejected, unusual but valid ones are not', () => {
  const cases: [string, string, RegExp][] = [
    ['lease_s = 10.0', 'lease_s = 1.9', /^file\.toml: facts\.workers\.lease_s: .*two reports/],
    ['zones = ["a", "b"]', 'zones = []', /^file\.toml: facts\.zones: /],
    ['size = 2', 'size = 0', /^file\.toml: facts\.size: /],
    ['lease_s = 10.0', 'lease_s = 1.0', /^file\.toml: facts\.workers\.lease_s: /],
    ['site = "a"', 'site = "c"', /^file\.toml: site: zone c is not in facts\.zones/],
    ['value_kb = 16.0', 'value_kb = 0.5', /^file\.toml: facts\.state\.value_kb: .*record of a job/],
    ['txn_ops = 20', 'txn_ops = 1', /^file\.toml: facts\.state\.txn_ops: .*job and its start/],
    ['sockets = 500', 'sockets = 0', /^file\.toml: facts\.resources\.sockets: /],
  ];
  for (const [valid, invalid, pattern] of cases) {
    assert.ok(SETTINGS.includes(valid));
    assert.match(
      errorLine(() => parseSettings(SETTINGS.replace(valid, invalid), 'file.toml')),
      pattern,
    );
  }
  const large = SETTINGS.replace('lease_s = 10.0', 'lease_s = 2.0').replace(
    'size = 2',
    'size = 90',
  );
  assert.equal(parseSettings(large, 'file.toml').size, 90);
});

test('a peer in an unknown zone is reported with its place in the list', () => {
  const peers = ['b', 'nowhere'].map(
    (site, i) =>
      `[[known]]\nmember = "berth-${i + 1}"\nsite = "${site}"\naddress = "127.0.0.1:${9000 + i}"\n`,
  );
  const text = SETTINGS.replace('[external]', `${peers.join('')}[external]`);
  assert.match(
    errorLine(() => parseSettings(text, 'file.toml')),
    /^file\.toml: known\.1\.site: zone nowhere is not in facts\.zones/,
  );
});

test('announced limits of the store are read, and those that cannot work are rejected', () => {
  const withNext = (next: string): string =>
    SETTINGS.replace('[facts.cloud]', `[facts.state.next]\n${next}\n[facts.cloud]`);
  assert.equal(parseSettings(SETTINGS, 'file.toml').state.next, null);
  const partial = parseSettings(withNext('value_kb = 2.0\nwrite_rps = 15.0'), 'file.toml');
  assert.deepEqual(partial.state.next, { valueBytes: 2048, writeRps: 15 });
  const complete = parseSettings(
    withNext('value_kb = 4\nrps = 50\nwrite_rps = 9\ntxn_ops = 4'),
    'f',
  );
  assert.deepEqual(complete.state.next, { rps: 50, writeRps: 9, valueBytes: 4096, txnOps: 4 });
  for (const [invalid, pattern] of [
    ['value_kb = 0', /^file\.toml: facts\.state\.next\.value_kb: /],
    ['value_kb = 0.5', /^file\.toml: facts\.state\.next\.value_kb: .*record of a job/],
    ['txn_ops = 1', /^file\.toml: facts\.state\.next\.txn_ops: .*a job and its start/],
    ['txn_ops = 4.5', /^file\.toml: facts\.state\.next\.txn_ops: /],
    ['write_rps = "few"', /^file\.toml: facts\.state\.next\.write_rps: /],
    ['rps = -1', /^file\.toml: facts\.state\.next\.rps: /],
  ] as const) {
    assert.match(
      errorLine(() => parseSettings(withNext(invalid), 'file.toml')),
      pattern,
    );
  }
});

test("the operators' file overrides the defaults that it names, and unknown elements are rejected", () => {
  const parse = (xml: string) => parseOperatorSettings(`<leverhatch>${xml}</leverhatch>`, 'op.xml');
  assert.deepEqual(parse(''), OPERATOR_DEFAULTS);
  assert.deepEqual(parse('<fleet><idleBoots>2.5</idleBoots></fleet>'), {
    ...OPERATOR_DEFAULTS,
    fleet: { idleBoots: 2.5 },
  });
  const cases: [string, RegExp][] = [
    ['<gate><colour>1</colour></gate>', /^op\.xml: leverhatch\.gate\.colour: unknown element/],
    ['<gate><slackSeconds>-1</slackSeconds></gate>', /slackSeconds: must be a positive number/],
    ['<gate>soon</gate>', /leverhatch\.gate: must be one element/],
    ['<election><lifetime>0.9</lifetime></election>', /lifetime: must be at most 0\.8/],
    ['<shares><listen>here</listen></shares>', /leverhatch\.shares\.listen: must be HOST:PORT/],
    ['<operators><listen>a:b</listen></operators>', /leverhatch\.operators\.listen: must be HOST/],
    ['<shares><enabled>maybe</enabled></shares>', /leverhatch\.shares\.enabled: must be yes or no/],
    [
      '<operators><listen>a:1</listen></operators><shares><listen>a:2</listen></shares>',
      /leverhatch\.shares\.listen: must be left out/,
    ],
    ['<rollout><probeSeconds>0</probeSeconds></rollout>', /probeSeconds: must be a positive/],
    ['<gate>', /^op\.xml: /],
  ];
  for (const [xml, pattern] of cases)
    assert.match(
      errorLine(() => parse(xml)),
      pattern,
    );
});

test("the former and the current form of the operators' file enable the same extensions, and errors name the element", async () => {
  const load = (xml: string) =>
    loadExtensions(parseOperatorSettings(`<leverhatch>${xml}</leverhatch>`, 'op.xml'), 'op.xml');
  assert.equal(await load(''), null, 'nothing is loaded');
  assert.equal(await load('<operators><listen>a:1</listen></operators>'), null);
  const former = await load('<shares><listen>a:1</listen><allow>10.0.0.0/8</allow></shares>');
  assert.deepEqual([former!.create.length, former!.listener.address], [1, 'a:1']);
  assert.ok(former!.listener.allowed.allows('10.1.1.1'));
  assert.ok(!former!.listener.allowed.allows('127.0.0.1'));
  const probe = '<rollout><probe>http://{host}:9100/{job}/{task}/{attempt}</probe></rollout>';
  const withRollout = await load(`<shares><listen>a:1</listen></shares>${probe}`);
  assert.deepEqual([withRollout!.create.length, withRollout!.listener.address], [2, 'a:1']);
  const listener = '<operators><listen>b:2</listen><allow>10.0.0.0/8</allow></operators>';
  const both = await load(`${listener}<shares><enabled>yes</enabled></shares>${probe}`);
  assert.deepEqual([both!.create.length, both!.listener.address], [2, 'b:2']);
  assert.ok(both!.sockets > 0 && former!.sockets === 0);
  const invalid: [string, RegExp][] = [
    [probe, /^op\.xml: leverhatch\.operators\.listen: must be HOST:PORT/],
    [
      `${listener}<rollout><probe>nonsense</probe></rollout>`,
      /leverhatch\.rollout\.probe: must be/,
    ],
    [
      `${listener}<rollout><probe>http://{rack}:1/</probe></rollout>`,
      /leverhatch\.rollout\.probe: unknown variable \{rack\}/,
    ],
    [
      `<operators><listen>b:2</listen><allow>here</allow></operators>${probe}`,
      /leverhatch\.operators\.allow: here is not a network/,
    ],
  ];
  for (const [xml, pattern] of invalid) await assert.rejects(load(xml), { message: pattern });
});
