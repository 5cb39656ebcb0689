import { z } from 'zod/mini';
import type { MachineType } from '../fleet/types.js';

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

export function parseTypes(body: unknown): MachineType[] {
  return z.parse(flavors, body).hulls.map((h) => ({
    name: h.sku,
    room: { cpus: h.vcpus, gpus: h.gpus, memoryGb: h.memoryGb },
    cacheGb: h.cacheGb,
    fetchGbPerS: h.fetchGbPerS,
    price: h.price,
    spotPrice: h.marketPrice,
    bootMs: h.readyS * 1000,
    zones: h.yards,
  }));
}

export interface Listed {
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

const LISTED_STATES: Record<string, Listed['state']> = { starting: 'booting', failed: 'failed' };

export function parseList(body: unknown): { machines: Listed[]; more: boolean } {
  const page = z.parse(list, body);
  return {
    machines: page.rigs.map((m) => ({
      id: m.ref,
      type: m.hull,
      zone: m.yard,
      spot: m.driftwood,
      state: LISTED_STATES[m.phase] ?? 'running',
      ageMs: m.ageS * 1000,
    })),
    more: page.more,
  };
}

export interface RentRequest {
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export const MAX_RENT = 50;
export const MAX_RETURN = 100;
export const LIST_PAGE = 500;

export function rentBody(r: RentRequest): object {
  return { charter: r.request, hull: r.type, yard: r.zone, driftwood: r.spot, number: r.count };
}

const rented = z.object({ rigs: z.array(z.string()) });

export const parseRented = (body: unknown): string[] => z.parse(rented, body).rigs;
export const returnBody = (machines: string[]): object => ({ rigs: machines });
export const listPath = (after: string | null): string =>
  after === null
    ? `/hosts?page=${LIST_PAGE}`
    : `/hosts?since=${encodeURIComponent(after)}&page=${LIST_PAGE}`;
export const PATHS = { types: '/flavors', rent: '/hosts', giveBack: '/hosts/return' } as const;
