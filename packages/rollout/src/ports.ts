/** What the service passes in: everything outside this package that rollouts need. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';
import type { ReplicaProbe } from './probe.js';

/** A job as far as rollouts care. */
export interface ServiceJob {
  id: string;
  state: 'open' | 'cancelled' | 'done';
  isService: boolean;
  team: string;
  replicas: number;
  image: string;
  resources: { cpus: number; gpus: number };
}

/** A job that the leader knows. */
export interface ScheduledJob extends ServiceJob {
  /** How many replicas are or may be on machines, until they are proven gone. */
  placed: number;
  /** It has failed on every machine that was tried. */
  failing: boolean;
}

/** One start of one replica. */
export interface Replica {
  /** Names this start in this session of its worker. */
  key: string;
  job: string;
  task: number;
  attempt: number;
  machine: string;
  /** The worker's session in which it was started. */
  agentEpoch: number;
  /** Where its worker takes commands; null: not known. */
  address: string | null;
  image: string;
  /** Its worker has reported lately, to this leader, that it runs, and nothing has told it to stop. */
  running: boolean;
  /** It has not run yet, as this leader knows for certain. */
  starting: boolean;
  /** It was told to stop. */
  stopping: boolean;
}

/** What the leader's scheduler does for rollouts. */
export interface SchedulerPort {
  /** Null: no such job, nothing of it is left, or the leader has not read all records yet. */
  job(id: string): ScheduledJob | null;
  replicas(job: string): Replica[];
  /** Stops a replica; an order of the operator, no preemption. */
  withdraw(replica: Replica): void;
  /** Takes back starts that were planned and never sent, until a job is within its limit. */
  withdrawStarts(job: string, limit: number): void;
  /** Ceilings have changed: a round of decisions should look at them. */
  onCeilingsChanged(): void;
}

/** How replicas are probed. */
export interface ProbeSettings {
  /** Each replica is probed about so often. */
  intervalMs: number;
  /** All replicas together at most so often. */
  perSecond: number;
}

/** What is the same at every controller, leading or not. */
export interface RolloutPorts extends RecordPorts {
  probe: ReplicaProbe;
  probing: ProbeSettings;
  /** A job as the state service has it; null: it was never accepted. */
  readJob(id: string): Promise<ServiceJob | null>;
  /** How much a team may use, with the shares that were moved; null: there is no such team. */
  teamLimit(team: string): Promise<{ cpus: number; gpus: number } | null>;
  /** Whether every controller has rollouts switched on, as the store says now. */
  isEnabledOnAllControllers(signal: AbortSignal): Promise<boolean>;
}
