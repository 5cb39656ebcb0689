import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { OperatorResponse } from '@leverhatch/operators/operator-response';
import { ask, startScenario, REQUEST, type RolloutScenario } from './fakes/rollout-scenario.js';
import { transferPhase, quotaTransferApi, withQuotaTransfers } from './fakes/quota-checker.js';

// A service of 8 replicas with 2 GPUs each on 4 machines; its team has a limit of 64 GPUs; three controllers.

const SURPLUS = { gpus: 48 };

const errorOf = ({ body }: OperatorResponse): string => (body as { error: string }).error;

function planRollout(
  { w: cluster, from, to }: RolloutScenario,
  node: number,
): Promise<OperatorResponse> {
  return ask(cluster, node, (api) => api.plan({ ...REQUEST, from, to }));
}

/** Transfers the part of a team's limit beyond the 16 GPUs that the service uses. */
async function moveSurplus({ w: cluster }: RolloutScenario, id: string, from: string, to: string) {
  const answer = await cluster.drive(
    quotaTransferApi(cluster, 0)!.submit({ id, from, to, limit: SURPLUS }),
  );
  assert.equal(answer.status, 201, errorOf(answer));
  await cluster.until(() => transferPhase(cluster, id) === 'done', 60, `${id} is done`);
  await cluster.advance(5);
}

test('rollout admission uses the limit of the team after quota transfers, also after a change of leader', async () => {
  const scenario = await startScenario({ before: (cluster) => void withQuotaTransfers(cluster) });
  const { w } = scenario;
  assert.equal((await planRollout(scenario, 0)).status, 200);
  await moveSurplus(scenario, 'm1', 'speech', 'vision');
  for (const node of w.nodes.keys()) {
    const refused = await planRollout(scenario, node);
    assert.equal(refused.status, 422);
    assert.match(errorOf(refused), /^maxSurge: team speech may use 16 gpus, 18 are needed/);
  }
  const old = w.leader;
  w.crash(old);
  await w.untilAnotherLeads(old, 20);
  assert.equal((await planRollout(scenario, w.leader)).status, 422);
  w.restart(old);
  await w.advance(10);
  await moveSurplus(scenario, 'm2', 'vision', 'speech');
  for (const node of w.nodes.keys()) assert.equal((await planRollout(scenario, node)).status, 200);
  await w.waitUntilSettled();
  await w.close();
});
