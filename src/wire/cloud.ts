/**
 * Maps the cloud's interface (PROTOCOL, cloud) to the names of the source. The field names in the
 * schemas and bodies are the cloud's and stay as they are.
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

/** The machine types on offer. Throws if the body does not have the cloud's form. */
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

/** A machine as the cloud lists it. */
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

/** One page of the list of machines; `more`: it goes on after the last one. */
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
  /** Its id; the cloud provisions once for each id. */
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** What the cloud takes at most in one request to provision, and in one to release. */
export const MAX_MACHINES_PER_REQUEST = 50;
export const MAX_MACHINES_PER_RELEASE = 100;

/** Machines on one page of the list. */
const LIST_PAGE = 500;

/** The body of a request to provision machines. */
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

/** The ids of the machines that a request has provisioned. */
export const parseProvisioned = (body: unknown): string[] => z.parse(provisioned, body).rigs;

/** The body of a request to release machines. */
export const releaseBody = (machines: string[]): object => ({ rigs: machines });

/** The path of one page of the list of machines; `after`: the last machine of the page before. */
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
