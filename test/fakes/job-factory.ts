import type { JobBehavior } from './worker.js';

export interface JobTemplate {
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
  /** The checkpoint interval of its tasks, and the time that saving takes. */
  snapshotEveryS?: number;
  stowS?: number;
  /** The image of its tasks. */
  crate?: string;
  /** The job is broken: its tasks fail on every machine after running for this long. */
  failsAfterMs?: number;
}

/** Creates submissions, and records how the fake workers run their jobs. */
export class JobFactory {
  readonly facts = new Map<string, JobBehavior>();
  /** The dependencies of each job. */
  readonly needs = new Map<string, string[]>();
  /** The image of each job. */
  readonly images = new Map<string, string>();
  private readonly bodies = new Map<string, object>();
  private nextId = 1;

  create(template: JobTemplate): { ref: string; body: object } {
    const ref = `req-${String(this.nextId++).padStart(6, '0')}`;
    const body = {
      ref,
      lane: 'train',
      crew: template.crew ?? 'vision',
      shape: template.shape ?? 'array',
      urgency: template.urgency ?? 'standard',
      pieces: template.pieces ?? 1,
      vcpus: template.vcpus ?? 1,
      gpus: template.gpus ?? 1,
      memoryGb: 4,
      crate: template.crate ?? 'img-1',
      sizeGb: 4,
      hulls: template.hulls ?? null,
      yard: template.yard ?? null,
      samePlace: template.samePlace ?? false,
      apart: template.apart ?? false,
      driftwood: template.driftwood ?? false,
      guessS: (template.runMs ?? 20_000) / 1000,
      snapshotEveryS: template.snapshotEveryS ?? 10,
      stowS: template.stowS ?? 1,
      ...(template.waitsOn ? { waitsOn: template.waitsOn } : {}),
    };
    const { shape, pieces, vcpus, gpus, memoryGb } = body;
    const [runMs, fetchMs] = [template.runMs ?? 20_000, template.fetchMs ?? 2000];
    this.needs.set(ref, template.waitsOn ?? []);
    this.images.set(ref, body.crate);
    this.bodies.set(ref, body);
    const saveMs = body.stowS * 1000;
    const facts = { shape, pieces, vcpus, gpus, memoryGb, runMs, fetchMs, saveMs };
    this.facts.set(
      ref,
      template.failsAfterMs ? { ...facts, failsAfterMs: template.failsAfterMs } : facts,
    );
    return { ref, body };
  }

  /** Returns the submission that was created with this id. */
  created(ref: string): { ref: string; body: object } {
    return { ref, body: this.bodies.get(ref)! };
  }
}
