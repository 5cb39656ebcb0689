// A start is taken back before its machine is told; its team's quota goes to another task; the
// leader ends: does the next leader keep the team within its limit?
import { URL } from 'node:url';
import { runCase, sleep } from '../lib-2/deployment.mjs';
import { Rules } from '../lib-2/rules.mjs';

await runCase(
  new URL('.', import.meta.url).pathname,
  'konyvjel-catalogue',
  {},
  async (deployment, withTrouble) => {
    const rules = new Rules(deployment);
    const [west, east] = deployment.site.zones;
    await deployment.start([
      ['tisza-box', 8, west],
      ['tisza-box', 1, east],
    ]);
    const eastern = deployment.work.workers.at(-1);
    await deployment.ready();
    const box = { vcpus: 40, gpus: 8, memoryGb: 200 };
    const half = { vcpus: 20, gpus: 4, memoryGb: 100 };
    // `platform` may use 64 GPUs at most; 60 of them are taken by replicas. Half a machine stays
    // free in the west, and in the east beside a task of another team.
    const replicas = { crew: 'platform', shape: 'service', urgency: 'production', yard: west };
    await deployment.submit(deployment.job({ ...replicas, pieces: 7, ...box }));
    await deployment.submit(deployment.job({ ...replicas, pieces: 1, ...half }));
    await deployment.submit(
      deployment.job({ crew: 'serials', urgency: 'urgent', ...half, yard: east, runMs: 100_000 }),
    );
    if (!(await deployment.until(() => deployment.onMachine.size === 9, 15)))
      throw new Error('the first jobs did not start');
    await sleep(2000);

    const batch = deployment.job({ crew: 'platform', ...half, yard: east, runMs: 30_000 });
    const scan = deployment.job({
      ...{ crew: 'platform', urgency: 'urgent', ...half, yard: west, runMs: 60_000 },
    });
    const rush = deployment.job({
      ...{ crew: 'cataloguing', urgency: 'urgent', ...half, yard: east, runMs: 1000 },
    });
    // The eastern machine reports about once a second; the jobs come just after a report.
    const { answered } = eastern.stats;
    await deployment.until(() => eastern.stats.answered > answered, 5);
    await deployment.submit(batch);
    const isStored = () => deployment.state.get(`runs/${batch.ref}/0`)?.placed?.length > 0;
    if (!(await deployment.until(isStored, 10))) throw new Error('the batch was not placed');
    // `rush` needs the room of `batch`, whose start is stored and on its way; `scan` needs the
    // quota of its team.
    await Promise.all([deployment.submit(scan), deployment.submit(rush)]);
    const hasStarted = () => deployment.onMachine.has(`${scan.ref}/0`);
    if (!(await deployment.until(hasStarted, withTrouble ? 10 : 50)))
      throw new Error('the scan did not start');
    deployment.record(`${scan.ref} has started; start of ${batch.ref} stored: ${isStored()}`);
    if (withTrouble) {
      const { leader } = deployment;
      if (!leader) throw new Error('nobody leads');
      deployment.kill(leader);
      await sleep(deployment.site.restartMs);
      deployment.spawn(leader);
    }
    await sleep(20_000);
    rules.close();
  },
);
