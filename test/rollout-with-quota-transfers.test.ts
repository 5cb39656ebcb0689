import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ApiAnswer } from '@leverhatch/operators/api-answer';
import { ask, begin, REQUEST, type RolloutScenario } from './fakes/rollout-scenario.js';
import { transferPhase, quotaTransferApi, withQuotaTransfers } from './fakes/quota-checker.js';

// A service of 8 replicas with 2 GPUs each, of a team that may use 64, on 4 machines; three controllers.

const SURPLUS = { gpus: 48 };

const errorOf = ({ body }: ApiAnswer): string => (body as { error: string }).error;

function planRollout({ w: cluster, from, to }: RolloutScenario, node: number): Promise<ApiAnswer> {
  return ask(cluster, node, (api) => api.plan({ ...REQUEST, from, to }));
}

/** Moves what a team may use beyond the 16 GPUs that the service holds. */
async function moveSurplus({ w: cluster }: RolloutScenario, id: string, from: string, to: string) {
  const answer = await cluster.drive(
    quotaTransferApi(cluster, 0)!.submit({ id, from, to, limit: SURPLUS }),
  );
  assert.equal(answer.status, 201, errorOf(answer));
  await cluster.until(() => transferPhase(cluster, id) === 'done', 60, `${id} is done`);
  await cluster.pass(5);
}

test('a rollout is judged by the limit that moved shares have left its team, also after a change of leader', async () => {
  const story = await begin({ before: (cluster) => void withQuotaTransfers(cluster) });
  const { w } = story;
  assert.equal((await planRollout(story, 0)).status, 200);
  await moveSurplus(story, 'm1', 'speech', 'vision');
  for (const node of w.nodes.keys()) {
    const refused = await planRollout(story, node);
    assert.equal(refused.status, 422);
    assert.match(errorOf(refused), /^maxSurge: team speech may use 16 gpus, 18 are needed/);
  }
  const old = w.leader;
  w.crash(old);
  await w.anotherLeads(old, 20);
  assert.equal((await planRollout(story, w.leader)).status, 422);
  w.restart(old);
  await w.pass(10);
  await moveSurplus(story, 'm2', 'vision', 'speech');
  for (const node of w.nodes.keys()) assert.equal((await planRollout(story, node)).status, 200);
  await w.settle();
  await w.close();
});
