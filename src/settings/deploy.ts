import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { z } from 'zod/mini';
import type { Limits } from '../state/store-limits.js';
import { SettingsError } from './error.js';

const positive = z.number().check(z.positive());
const amount = z.number().check(z.nonnegative());
const address = z.string().check(z.regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT'));

/** The record of a job is one value: some 350 bytes with short names. Lists in it are split over several. */
const LEAST_VALUE_KB = 1;
const valueKb = z.number().check(z.minimum(LEAST_VALUE_KB, 'is too small for the record of a job'));

const LEAST_CHANGES = 2;
const transactionChanges = z
  .int()
  .check(z.minimum(LEAST_CHANGES, 'is too small for a job and its start'));

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
        // With fewer, a worker that reports in time would lose its lease.
        z.refine((w) => w.lease_s >= w.report_s * 2, {
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

export interface Team {
  name: string;
  /** What the team may have at once without waiting for others; 0: nothing is guaranteed. */
  guarantee: { cpus: number; gpus: number };
  /** What its tasks may use at most; Infinity where the settings say 0, which means no limit. */
  limit: { cpus: number; gpus: number };
}

export interface ServiceLevelObjective {
  kind: string;
  jobClass: string | null;
  withinMs: number | null;
  share: number | null;
  /** Of aims on deadlines: by how many times the deadline. */
  deadlineMultiple: number;
}

export interface Settings {
  member: string;
  zone: string;
  publicAddress: string;
  peerAddress: string;
  peers: { member: string; zone: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  size: number;
  zones: string[];
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
  /** `next`: limits that the store will have from some later moment on; null: none announced. */
  state: Limits & { next: Partial<Limits> | null };
  cloud: { rps: number; listLagMs: number };
  machine: { coreShare: number; memoryMb: number; sockets: number };
}

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

/** A zone that is misspelt for one controller would put it into a zone of its own, without any worker. */
function assertZonesKnown({ site, known, facts }: z.infer<typeof schema>, file: string): void {
  const sites = [site, ...known.map((peer) => peer.site)];
  const fields = ['site', ...known.map((_, i) => `known.${i}.site`)];
  const unknown = sites.findIndex((name) => !facts.zones.includes(name));
  if (unknown === -1) return;
  throw new SettingsError(file, fields[unknown]!, `zone ${sites[unknown]} is not in facts.zones`);
}

export function loadSettings(file: string): Settings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, null, firstLine(error));
  }
  return parseSettings(text, file);
}

function firstLine(error: unknown): string {
  return (error instanceof Error ? error.message : String(error)).split('\n')[0] ?? '';
}

type Announced = NonNullable<z.infer<typeof schema>['facts']['state']['next']>;

function announcedLimits(next: Announced): Partial<Limits> {
  return {
    ...(next.rps === undefined ? {} : { rps: next.rps }),
    ...(next.write_rps === undefined ? {} : { writeRps: next.write_rps }),
    ...(next.value_kb === undefined ? {} : { valueBytes: next.value_kb * 1024 }),
    ...(next.txn_ops === undefined ? {} : { txnOps: next.txn_ops }),
  };
}

function toSettings(d: z.infer<typeof schema>): Settings {
  const { facts } = d;
  const noLimit = (limit: number): number => (limit === 0 ? Infinity : limit);
  return {
    member: d.member,
    zone: d.site,
    publicAddress: d.public_addr,
    peerAddress: d.peer_bind,
    peers: d.known.map((p) => ({ member: p.member, zone: p.site, address: p.address })),
    cloudAddress: d.external.cloud,
    stateAddress: d.external.state,
    size: facts.size,
    zones: facts.zones,
    clockErrorMs: facts.clock_error_ms,
    teams: new Map(
      facts.teams.map((team) => [
        team.name,
        {
          name: team.name,
          guarantee: { cpus: team.cpus, gpus: team.gpus },
          limit: { cpus: noLimit(team.cpus_max), gpus: noLimit(team.gpus_max) },
        },
      ]),
    ),
    objectives: facts.objectives.map((objective) => ({
      kind: objective.kind,
      jobClass: objective.class ?? null,
      withinMs: objective.within_s === undefined ? null : objective.within_s * 1000,
      share: objective.share ?? null,
      deadlineMultiple: objective.times ?? 1,
    })),
    workers: {
      heartbeatIntervalMs: facts.workers.report_s * 1000,
      leaseMs: facts.workers.lease_s * 1000,
      gangWaitMs: facts.workers.gang_wait_s * 1000,
      gangPeerMs: facts.workers.gang_peer_s * 1000,
      cancelMs: facts.workers.cancel_s * 1000,
    },
    state: {
      rps: facts.state.rps,
      writeRps: facts.state.write_rps,
      valueBytes: facts.state.value_kb * 1024,
      txnOps: facts.state.txn_ops,
      next: facts.state.next ? announcedLimits(facts.state.next) : null,
    },
    cloud: { rps: facts.cloud.rps, listLagMs: facts.cloud.list_lag_s * 1000 },
    machine: {
      coreShare: facts.resources.core_share,
      memoryMb: facts.resources.ram_mb,
      sockets: facts.resources.sockets,
    },
  };
}
