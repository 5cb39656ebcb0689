/**
 * Loads the platform's deploy file (TOML; described in DEPLOY) and maps its field names to those of the
 * source. The field names in the schema are part of the file format and must not change. Seconds and
 * kilobytes of the file become milliseconds and bytes.
 */
import { parse } from 'smol-toml';
import { z } from 'zod/mini';
import type { Limits } from '../state/store-limits.js';
import { firstLine, readSettingsFile, SettingsError } from './error.js';

const positive = z.number().check(z.positive());
const amount = z.number().check(z.nonnegative());
const address = z.string().check(z.regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT'));

/**
 * A job record is stored as one value, which takes about 350 bytes with short names; the lists of a job
 * are stored separately, in chunks.
 */
const MIN_VALUE_KB = 1;
const valueKb = z.number().check(z.minimum(MIN_VALUE_KB, 'is too small for the record of a job'));

const MIN_CHANGES = 2;
const transactionChanges = z
  .int()
  .check(z.minimum(MIN_CHANGES, 'is too small for a job and its start'));

const schema = z.object({
  member: z.string().check(z.minLength(1)),
  site: z.string(),
  public_addr: address,
  peer_bind: address,
  known: z._default(z.array(z.object({ member: z.string(), site: z.string(), address })), []),
  external: z.object({ cloud: address, state: address }),
  facts: z.object({
    size: z.int().check(z.positive()),
    zones: z.array(z.string()).check(z.minLength(1, 'must name a zone')),
    clock_error_ms: amount,
    teams: z.array(
      z.object({
        name: z.string(),
        cpus: z._default(amount, 0),
        cpus_max: z._default(amount, 0),
        gpus: z._default(amount, 0),
        gpus_max: z._default(amount, 0),
      }),
    ),
    objectives: z._default(
      z.array(
        z.object({
          kind: z.string(),
          class: z.optional(z.string()),
          within_s: z.optional(z.number()),
          share: z.optional(z.number()),
          times: z.optional(z.number()),
        }),
      ),
      [],
    ),
    workers: z
      .object({
        report_s: positive,
        lease_s: positive,
        gang_wait_s: positive,
        gang_peer_s: positive,
        cancel_s: positive,
      })
      .check(
        // With a shorter lease, a worker whose heartbeats arrive on time would lose it.
        z.refine(({ lease_s, report_s }) => lease_s >= report_s * 2, {
          path: ['lease_s'],
          error: 'must hold at least two reports',
        }),
      ),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: valueKb,
      txn_ops: transactionChanges,
      next: z.optional(
        z.object({
          rps: z.optional(positive),
          write_rps: z.optional(positive),
          value_kb: z.optional(valueKb),
          txn_ops: z.optional(transactionChanges),
        }),
      ),
    }),
    cloud: z.object({ rps: positive, list_lag_s: positive }),
    resources: z.object({ core_share: positive, ram_mb: positive, sockets: positive }),
  }),
});

type DeployFile = z.infer<typeof schema>;
type DeployFacts = DeployFile['facts'];

/** A team and its quota. */
export interface Team {
  name: string;
  /** The resources that the team gets without waiting for other teams; 0: none are guaranteed. */
  guarantee: { cpus: number; gpus: number };
  /** The maximum resources of its tasks; Infinity: no limit, which is 0 in the file. */
  limit: { cpus: number; gpus: number };
}

/** A service-level objective; its `kind` is that of the file. */
export interface ServiceLevelObjective {
  kind: string;
  jobClass: string | null;
  withinMs: number | null;
  share: number | null;
  /** For deadline objectives: the multiple of the deadline within which a job has to finish. */
  deadlineMultiple: number;
}

/** The settings of the deploy file. Addresses are `HOST:PORT`. */
export interface Settings {
  /** The name of this controller. */
  member: string;
  zone: string;
  publicAddress: string;
  peerAddress: string;
  peers: { member: string; zone: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  /** The number of controllers. */
  size: number;
  zones: string[];
  /** The maximum difference between the clocks of different machines, in milliseconds. */
  clockErrorMs: number;
  teams: Map<string, Team>;
  objectives: ServiceLevelObjective[];
  workers: {
    heartbeatIntervalMs: number;
    leaseMs: number;
    gangWaitMs: number;
    gangPeerMs: number;
    cancelMs: number;
  };
  /** `next`: lower limits announced for an unspecified later time; null if there are none. */
  state: Limits & { next: Partial<Limits> | null };
  cloud: { rps: number; listLagMs: number };
  machine: { coreShare: number; memoryMb: number; sockets: number };
}

/** Parses the text of a deploy file; `file` names it in errors. Throws `SettingsError`. */
export function parseSettings(text: string, file: string): Settings {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    throw new SettingsError(file, null, firstLine(error));
  }
  const result = schema.safeParse(document);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new SettingsError(file, issue?.path.join('.') ?? null, issue?.message ?? 'is invalid');
  }
  assertZonesKnown(result.data, file);
  return toSettings(result.data);
}

/** Rejects unknown zones: a controller with a misspelt zone would be in a zone without any worker. */
function assertZonesKnown({ site, known, facts }: DeployFile, file: string): void {
  const references = [
    { field: 'site', zone: site },
    ...known.map((peer, i) => ({ field: `known.${i}.site`, zone: peer.site })),
  ];
  const unknownReference = references.find(({ zone }) => !facts.zones.includes(zone));
  if (!unknownReference) return;
  throw new SettingsError(
    file,
    unknownReference.field,
    `zone ${unknownReference.zone} is not in facts.zones`,
  );
}

/** Reads a deploy file. Throws `SettingsError`. */
export function loadSettings(file: string): Settings {
  return parseSettings(readSettingsFile(file), file);
}

type AnnouncedLimits = NonNullable<DeployFacts['state']['next']>;

function toAnnouncedLimits(next: AnnouncedLimits): Partial<Limits> {
  return {
    ...(next.rps === undefined ? {} : { rps: next.rps }),
    ...(next.write_rps === undefined ? {} : { writeRps: next.write_rps }),
    ...(next.value_kb === undefined ? {} : { valueBytes: next.value_kb * 1024 }),
    ...(next.txn_ops === undefined ? {} : { txnOps: next.txn_ops }),
  };
}

function toSettings(document: DeployFile): Settings {
  const { facts } = document;
  return {
    member: document.member,
    zone: document.site,
    publicAddress: document.public_addr,
    peerAddress: document.peer_bind,
    peers: document.known.map(({ member, site, address }) => ({ member, zone: site, address })),
    cloudAddress: document.external.cloud,
    stateAddress: document.external.state,
    size: facts.size,
    zones: facts.zones,
    clockErrorMs: facts.clock_error_ms,
    teams: new Map(facts.teams.map((team) => [team.name, toTeam(team)])),
    objectives: facts.objectives.map(toObjective),
    workers: toWorkers(facts.workers),
    state: {
      rps: facts.state.rps,
      writeRps: facts.state.write_rps,
      valueBytes: facts.state.value_kb * 1024,
      txnOps: facts.state.txn_ops,
      next: facts.state.next ? toAnnouncedLimits(facts.state.next) : null,
    },
    cloud: { rps: facts.cloud.rps, listLagMs: facts.cloud.list_lag_s * 1000 },
    machine: {
      coreShare: facts.resources.core_share,
      memoryMb: facts.resources.ram_mb,
      sockets: facts.resources.sockets,
    },
  };
}

function toTeam(team: DeployFacts['teams'][number]): Team {
  const toLimit = (amount: number): number => (amount === 0 ? Infinity : amount);
  return {
    name: team.name,
    guarantee: { cpus: team.cpus, gpus: team.gpus },
    limit: { cpus: toLimit(team.cpus_max), gpus: toLimit(team.gpus_max) },
  };
}

function toObjective(objective: DeployFacts['objectives'][number]): ServiceLevelObjective {
  return {
    kind: objective.kind,
    jobClass: objective.class ?? null,
    withinMs: objective.within_s === undefined ? null : objective.within_s * 1000,
    share: objective.share ?? null,
    deadlineMultiple: objective.times ?? 1,
  };
}

function toWorkers(workers: DeployFacts['workers']): Settings['workers'] {
  return {
    heartbeatIntervalMs: workers.report_s * 1000,
    leaseMs: workers.lease_s * 1000,
    gangWaitMs: workers.gang_wait_s * 1000,
    gangPeerMs: workers.gang_peer_s * 1000,
    cancelMs: workers.cancel_s * 1000,
  };
}
