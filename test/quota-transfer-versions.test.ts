import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RELEASES, type Release } from './fakes/released.js';
import {
  EIGHT_MACHINES,
  transferPhase,
  quotaTransferApi,
  withQuotaTransfers,
} from './fakes/quota-checker.js';
import { changeVersion, setVersions, transferLeadership } from './fakes/versions.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

// Controllers of earlier versions run the released code, from the bundles in test/fixtures/controllers.

const TRANSFER = { id: 'm1', from: 'speech', to: 'vision', limit: { gpus: 24 } };

/** The donor's limit after one such transfer, and after two. */
const REMAINING_LIMIT = 40;
const REMAINING_LIMIT_AFTER_TWO = 16;

const WRITES_MEMBER_RECORD: ReadonlySet<Release> = new Set(['104c759']);

async function submit(cluster: SimulatedCluster, id: string, node: number): Promise<void> {
  const answer = await cluster.drive(quotaTransferApi(cluster, node)!.submit({ ...TRANSFER, id }));
  assert.equal(answer.status, 201);
}

for (const release of RELEASES) {
  test(`no transfer begins before the last ${release} is upgraded, whichever controller is leader`, async () => {
    const simulatedCluster = new SimulatedCluster(EIGHT_MACHINES, 3);
    simulatedCluster.cloud.capacity = EIGHT_MACHINES.length;
    withQuotaTransfers(simulatedCluster);
    setVersions(simulatedCluster, ['current', 'current', release]);
    await simulatedCluster.start();
    await submit(simulatedCluster, 'm1', 0);
    for (const leader of [2, 0, 1]) {
      await transferLeadership(simulatedCluster, leader);
      await simulatedCluster.advance(5);
      assert.equal(transferPhase(simulatedCluster, 'm1'), 'requested');
    }
    await changeVersion(simulatedCluster, 2, 'current');
    await simulatedCluster.until(
      () => transferPhase(simulatedCluster, 'm1') === 'done',
      30,
      'the transfer is done',
    );
    const work = await simulatedCluster.submit({ pieces: 64, crew: 'speech', runMs: 5000 });
    await simulatedCluster.until(
      () => simulatedCluster.running(work) === REMAINING_LIMIT,
      20,
      'the tasks that fit are running',
    );
    await simulatedCluster.waitUntilSettled();
    await simulatedCluster.close();
  });

  test(`a controller that is downgraded to ${release} and leads does not change the records`, async () => {
    const simulatedCluster = new SimulatedCluster(EIGHT_MACHINES, 3);
    simulatedCluster.cloud.capacity = EIGHT_MACHINES.length;
    withQuotaTransfers(simulatedCluster);
    await simulatedCluster.start();
    await submit(simulatedCluster, 'm1', 0);
    await simulatedCluster.until(
      () => transferPhase(simulatedCluster, 'm1') === 'done',
      30,
      'the transfer is done',
    );
    const before = [...simulatedCluster.store.keys].filter(([key]) => key.startsWith('shares/'));
    await changeVersion(simulatedCluster, 2, release);
    await transferLeadership(simulatedCluster, 2);
    const job = await simulatedCluster.submit({ pieces: 4, runMs: 3000 });
    await simulatedCluster.advance(10);
    assert.equal(await simulatedCluster.phase(job), 'done');
    await transferLeadership(simulatedCluster, 0);
    assert.deepEqual(
      [...simulatedCluster.store.keys].filter(([key]) => key.startsWith('shares/')),
      before,
    );
    // Completed transfers apply again, and no further one begins until that controller is upgraded again. A
    // downgraded controller that writes no member record cannot be told apart from the version that ran before
    // the downgrade, so in this case the transfer is carried out; the operators' page documents this.
    await submit(simulatedCluster, 'm2', 1);
    await simulatedCluster.advance(10);
    assert.equal(
      transferPhase(simulatedCluster, 'm2'),
      WRITES_MEMBER_RECORD.has(release) ? 'requested' : 'done',
    );
    const remainingLimit = WRITES_MEMBER_RECORD.has(release)
      ? REMAINING_LIMIT
      : REMAINING_LIMIT_AFTER_TWO;
    const work = await simulatedCluster.submit({ pieces: 64, crew: 'speech', runMs: 5000 });
    await simulatedCluster.until(
      () => simulatedCluster.running(work) === remainingLimit,
      20,
      'the tasks that fit are running',
    );
    await simulatedCluster.close();
  });
}
