import { parseSettings, type Settings, type Team } from '../../src/settings/deploy.js';
import type { DeploymentShape } from './deployment-shape.js';

export const SETTINGS = `
member = "berth-0"
site = "a"
public_addr = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
[external]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[facts]
size = 2
zones = ["a", "b"]
clock_error_ms = 100.0
[[facts.teams]]
name = "vision"
gpus = 16.0
gpus_max = 32.0
[[facts.teams]]
name = "speech"
gpus = 16.0
gpus_max = 64.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 35.0
[facts.state]
rps = 200.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 20
[facts.cloud]
rps = 8.0
list_lag_s = 5.0
[facts.resources]
core_share = 0.136
ram_mb = 114.0
sockets = 500
`;

/** A team whose work needs no GPUs, and one without a guarantee. */
const EXTRA_TEAMS = `
[[facts.teams]]
name = "desk"
cpus = 4.0
cpus_max = 16.0
[[facts.teams]]
name = "guests"
`;

/** The sample settings of a controller; the second one is in zone b, all others in zone a. */
export function settings(member = 'berth-0'): Settings {
  const text = SETTINGS.replace('berth-0', member).replace(
    '[facts.workers]',
    `${EXTRA_TEAMS}[facts.workers]`,
  );
  return parseSettings(
    member === 'berth-1' ? text.replace('site = "a"', 'site = "b"') : text,
    'settings',
  );
}

/** The teams of the sample with scaled guarantees and limits. */
export function scaledTeams(scale: number): Map<string, Team> {
  const scaleAmounts = ({ cpus, gpus }: Team['limit']): Team['limit'] => ({
    cpus: cpus * scale,
    gpus: gpus * scale,
  });
  const scaled = [...settings().teams.values()].map((team) => ({
    name: team.name,
    guarantee: scaleAmounts(team.guarantee),
    limit: scaleAmounts(team.limit),
  }));
  return new Map(scaled.map((team) => [team.name, team]));
}

/** The settings of one controller of a deployment, with all others as peers. */
export function controllerSettings(
  member: string,
  controllers: { name: string; zone: string }[],
  shape: Omit<DeploymentShape, 'controllers'>,
): Settings {
  const sample = settings(member);
  const peers = controllers
    .filter(({ name }) => name !== member)
    .map(({ name, zone }) => ({ member: name, zone, address: `${name}:1` }));
  const { workers, machine, objectives = sample.objectives } = shape;
  return {
    ...sample,
    ...{ peers, workers, machine, objectives, zones: [...shape.zones], size: controllers.length },
    zone: controllers.find(({ name }) => name === member)?.zone ?? sample.zone,
    state: { ...sample.state, ...shape.state },
  };
}
