/** The settings of a small deployment: those of Konyvjel (BRIEF), with fewer machines. */
import process from 'node:process';
import { URL, fileURLToPath } from 'node:url';
import { setTimeout } from 'node:timers';

/** False if the case is to run without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** `caseUrl`: the `import.meta.url` of the case's test. */
export function konyvjel(caseUrl, overrides = {}) {
  return {
    recordFile: fileURLToPath(new URL('record.txt', caseUrl)),
    controllers: 3,
    zones: ['budapest-rack', 'debrecen-rack'],
    controllerZones: ['budapest-rack', 'debrecen-rack', 'budapest-rack'],
    restartMs: 6000,
    teams: [
      { name: 'cataloguing', cpus: 0, cpus_max: 0, gpus: 40, gpus_max: 80 },
      { name: 'egyetem-lab', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    ],
    timing: { report_s: 1, lease_s: 10, gang_wait_s: 35, gang_peer_s: 6, cancel_s: 35 },
    state: { rps: 200, write_rps: 25, value_kb: 16, txn_ops: 20 },
    cloud: { rps: 8, list_lag_s: 5 },
    resources: { core_share: 0.136, ram_mb: 114, sockets: 500 },
    capacity: 4,
    hulls: [
      {
        sku: 'tisza-box',
        vcpus: 48,
        gpus: 8,
        memoryGb: 288,
        cacheGb: 400,
        fetchGbPerS: 2,
        price: 21.55,
        marketPrice: 7.41,
        readyS: 50,
        yards: ['budapest-rack', 'debrecen-rack'],
      },
    ],
    machines: machines(4),
    ...overrides,
  };
}

/** This many machines, in both zones by turns. */
export function machines(count) {
  return Array.from({ length: count }, (_, i) => ({
    hull: 'tisza-box',
    yard: i % 2 === 0 ? 'budapest-rack' : 'debrecen-rack',
  }));
}

/** Runs a case: `play` resolves to the exit code. No case may take longer than two minutes. */
export async function runCase(fleet, play) {
  const timer = setTimeout(() => {
    fleet.record('the case was cut off: it took too long');
    fleet.close();
    process.exit(COULD_NOT_RUN);
  }, 115_000);
  timer.unref();
  let code = COULD_NOT_RUN;
  try {
    await fleet.start();
    code = await play(fleet);
  } catch (error) {
    fleet.record(`the case could not run: ${error?.stack ?? error}`);
  } finally {
    fleet.close();
  }
  const texts = ['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'];
  fleet.record(`result: ${texts[code]} (exit code ${code}, trouble: ${hasTrouble})`);
  process.exit(code);
}
