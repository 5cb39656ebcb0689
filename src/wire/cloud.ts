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

export interface ListedMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
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

export interface ProvisioningRequest {
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export const MAX_MACHINES_PER_REQUEST = 50;
export const MAX_MACHINES_PER_RELEASE = 100;
export const LIST_PAGE = 500;

export function provisioningBody(r: ProvisioningRequest): object {
  return { charter: r.request, hull: r.type, yard: r.zone, driftwood: r.spot, number: r.count };
}

const provisioned = z.object({ rigs: z.array(z.string()) });

export const parseProvisioned = (body: unknown): string[] => z.parse(provisioned, body).rigs;
export const releaseBody = (machines: string[]): object => ({ rigs: machines });
export const listPath = (after: string | null): string =>
  after === null
    ? `/hosts?page=${LIST_PAGE}`
    : `/hosts?since=${encodeURIComponent(after)}&page=${LIST_PAGE}`;
export const CLOUD_PATHS = {
  types: '/flavors',
  provision: '/hosts',
  release: '/hosts/return',
} as const;
