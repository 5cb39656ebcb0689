/**
 * Maps the cloud's interface (section "cloud" of PROTOCOL) to the names of the source. The field names
 * in the schemas and bodies are part of that interface and must not change.
 */
import { z } from 'zod/mini';
import type { MachineType } from '../fleet/resources.js';

const amount = z.number().check(z.nonnegative());

const flavors = z.object({
  hulls: z.array(
    z.object({
      sku: z.string(),
      vcpus: amount,
      gpus: amount,
      memoryGb: amount,
      cacheGb: amount,
      fetchGbPerS: z.number().check(z.positive()),
      price: amount,
      marketPrice: amount,
      readyS: amount,
      yards: z.array(z.string()),
    }),
  ),
});

/** Parses the available machine types. Throws if the body is malformed. */
export function parseMachineTypes(body: unknown): MachineType[] {
  return z.parse(flavors, body).hulls.map((hull) => ({
    name: hull.sku,
    capacity: { cpus: hull.vcpus, gpus: hull.gpus, memoryGb: hull.memoryGb },
    cacheGb: hull.cacheGb,
    fetchGbPerS: hull.fetchGbPerS,
    price: hull.price,
    spotPrice: hull.marketPrice,
    bootMs: hull.readyS * 1000,
    zones: hull.yards,
  }));
}

/** A machine in the list of the cloud. */
export interface ListedMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time since it was provisioned, in milliseconds. */
  ageMs: number;
}

const list = z.object({
  rigs: z.array(
    z.object({
      ref: z.string(),
      hull: z.string(),
      yard: z.string(),
      driftwood: z.boolean(),
      phase: z.string(),
      ageS: z.number(),
    }),
  ),
  more: z._default(z.boolean(), false),
});

const LISTED_STATES: Record<string, ListedMachine['state']> = {
  starting: 'booting',
  failed: 'failed',
};

/** Parses one page of the list of machines; `more`: further pages follow. */
export function parseMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const page = z.parse(list, body);
  return {
    machines: page.rigs.map((rig) => ({
      id: rig.ref,
      type: rig.hull,
      zone: rig.yard,
      spot: rig.driftwood,
      state: LISTED_STATES[rig.phase] ?? 'running',
      ageMs: rig.ageS * 1000,
    })),
    more: page.more,
  };
}

/** A request for `count` machines of one type in one zone. */
export interface ProvisioningRequest {
  /** The idempotency key: the cloud provisions only once for each. */
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The maximum number of machines in one provisioning request. */
export const MAX_MACHINES_PER_REQUEST = 50;
/** The maximum number of machines in one request to release machines. */
export const MAX_MACHINES_PER_RELEASE = 100;

/** The number of machines on one page of the list. */
const LIST_PAGE = 500;

/** Builds the body of a request to provision machines. */
export function provisioningBody(order: ProvisioningRequest): object {
  return {
    charter: order.request,
    hull: order.type,
    yard: order.zone,
    driftwood: order.spot,
    number: order.count,
  };
}

const provisioned = z.object({ rigs: z.array(z.string()) });

/** Parses the ids of the machines that a request has provisioned. */
export const parseProvisioned = (body: unknown): string[] => z.parse(provisioned, body).rigs;

/** Builds the body of a request to release machines. */
export const releaseBody = (machines: string[]): object => ({ rigs: machines });

/** Builds the path of one page of the list; `after`: the last machine of the previous page. */
export const listPath = (after: string | null): string =>
  after === null
    ? `/hosts?page=${LIST_PAGE}`
    : `/hosts?since=${encodeURIComponent(after)}&page=${LIST_PAGE}`;

/** Paths of the cloud's other requests. */
export const CLOUD_PATHS = {
  types: '/flavors',
  provision: '/hosts',
  release: '/hosts/return',
} as const;
