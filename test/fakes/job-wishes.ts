import type { JobFacts } from './worker.js';

export interface JobWish {
  shape?: 'array' | 'gang' | 'service';
  pieces?: number;
  gpus?: number;
  crew?: string;
  urgency?: string;
  runMs?: number;
  fetchMs?: number;
  samePlace?: boolean;
  apart?: boolean;
  driftwood?: boolean;
  yard?: string;
  hulls?: string[];
  vcpus?: number;
  waitsOn?: string[];
  /** How often its tasks are ready to be saved, and how long that takes. */
  snapshotEveryS?: number;
  stowS?: number;
  /** The image of its tasks. */
  crate?: string;
  /** It has a mistake: its tasks fail on every machine after running for so long. */
  failsAfterMs?: number;
}

/** Makes submissions, and remembers what is true of their jobs. */
export class JobWishes {
  readonly facts = new Map<string, JobFacts>();
  /** The jobs that each job needs. */
  readonly needs = new Map<string, string[]>();
  /** The image of each job. */
  readonly images = new Map<string, string>();
  private readonly bodies = new Map<string, object>();
  private nextId = 1;

  wish(w: JobWish): { ref: string; body: object } {
    const ref = `req-${String(this.nextId++).padStart(6, '0')}`;
    const body = {
      ref,
      lane: 'train',
      crew: w.crew ?? 'vision',
      shape: w.shape ?? 'array',
      urgency: w.urgency ?? 'standard',
      pieces: w.pieces ?? 1,
      vcpus: w.vcpus ?? 1,
      gpus: w.gpus ?? 1,
      memoryGb: 4,
      crate: w.crate ?? 'img-1',
      sizeGb: 4,
      hulls: w.hulls ?? null,
      yard: w.yard ?? null,
      samePlace: w.samePlace ?? false,
      apart: w.apart ?? false,
      driftwood: w.driftwood ?? false,
      guessS: (w.runMs ?? 20_000) / 1000,
      snapshotEveryS: w.snapshotEveryS ?? 10,
      stowS: w.stowS ?? 1,
      ...(w.waitsOn ? { waitsOn: w.waitsOn } : {}),
    };
    const { shape, pieces, vcpus, gpus, memoryGb } = body;
    const [runMs, fetchMs] = [w.runMs ?? 20_000, w.fetchMs ?? 2000];
    this.needs.set(ref, w.waitsOn ?? []);
    this.images.set(ref, body.crate);
    this.bodies.set(ref, body);
    const saveMs = body.stowS * 1000;
    const facts = { shape, pieces, vcpus, gpus, memoryGb, runMs, fetchMs, saveMs };
    this.facts.set(ref, w.failsAfterMs ? { ...facts, failsAfterMs: w.failsAfterMs } : facts);
    return { ref, body };
  }

  /** What was wished for under this id. */
  wished(ref: string): { ref: string; body: object } {
    return { ref, body: this.bodies.get(ref)! };
  }
}
