// Two arrays of 100,000 tasks that fit on the machines: do the controllers go on?
import process from 'node:process';
import { URL } from 'node:url';
import { runCase, sleep } from '../lib-2/deployment.mjs';

const WATCH_S = 75;

await runCase(
  new URL('.', import.meta.url).pathname,
  'slotsetu-booking',
  {},
  async (deployment, withTrouble) => {
    deployment.quiet = true;
    // The machines that are up at the start of a day, see BRIEF.
    await deployment.start([
      ['sabarmati-box', 22],
      ['narmada-box', 10],
    ]);
    await deployment.ready();
    const desk = deployment.job({
      crew: 'surat-desk',
      shape: 'service',
      urgency: 'urgent',
      pieces: 2,
    });
    await deployment.submit(desk);
    if (!(await deployment.until(() => deployment.onMachine.size === 2, 15)))
      throw new Error('the replicas did not start');
    const pieces = withTrouble ? 100_000 : 1000;
    const small = { pieces, vcpus: 0.005, gpus: 0, memoryGb: 0.005, lane: 'claims-sweep' };
    for (const crate of ['img-02', 'img-03'])
      await deployment.submit(
        deployment.job({ ...small, crate, urgency: 'best_effort', runMs: 4000 }),
      );
    const until = deployment.now + WATCH_S;
    let polls = 0;
    let answered = 0;
    while (deployment.now < until) {
      // The platform starts a controller again after the time that BRIEF names.
      for (const controller of deployment.controllers) {
        if (controller.child !== null) continue;
        controller.endedAt ??= deployment.now;
        if (deployment.now - controller.endedAt < deployment.site.restartMs / 1000) continue;
        controller.endedAt = undefined;
        deployment.spawn(controller);
      }
      for (const controller of deployment.controllers) {
        const reply = await deployment.ask(controller, 'GET', `/work/${desk.ref}`);
        polls++;
        if (reply?.status === 200) answered++;
      }
      await sleep(1000);
    }
    deployment.record(`${answered} of ${polls} polls for ${desk.ref} were answered`);
    process.stdout.write(`${answered} of ${polls} polls for ${desk.ref} were answered\n`);
    if (deployment.ended.length > 0)
      deployment.violate(
        `controllers ended by themselves ${deployment.ended.length} times: ${deployment.ended.join('; ')}`,
      );
  },
);
