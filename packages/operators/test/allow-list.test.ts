import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AllowList, InvalidNetworkError } from '@leverhatch/operators/allow-list';

test('addresses are matched against networks, including IPv4-mapped IPv6 addresses', () => {
  const list = new AllowList('10.1.0.0/16, ::1/128 ::ffff:10.2.0.0/112');
  for (const allowed of ['10.1.2.3', '::ffff:10.1.2.3', '::1', '10.2.0.9'])
    assert.ok(list.allows(allowed));
  for (const rejected of ['10.3.0.1', '::2', 'fd00::1', 'nonsense', undefined]) {
    assert.ok(!list.allows(rejected));
  }
  for (const invalid of ['', '10.1.0.0', '10.1.0.0/33', 'localhost/8']) {
    assert.throws(() => new AllowList(invalid), InvalidNetworkError);
  }
});
