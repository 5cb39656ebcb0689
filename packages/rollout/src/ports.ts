/** What rollouts need from outside this package, passed in by the service. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';

/** A job as rollouts see it. */
export interface ServiceJob {
  id: string;
  state: 'open' | 'cancelled' | 'done';
  isService: boolean;
  team: string;
  replicas: number;
  image: string;
  /** Request of one replica. */
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
  /** Identifies this start in its agent epoch. */
  key: string;
  job: string;
  task: number;
  attempt: number;
  machine: string;
  /** The agent epoch in which it was started. */
  agentEpoch: number;
  /** `HOST:PORT` at which its worker takes commands; null: not known. */
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
  /** Stops a replica, by an operator's command; this is no preemption. */
  withdraw(replica: Replica): void;
  /** Withdraws planned, unsent starts until a job is within its limit. */
  withdrawStarts(job: string, limit: number): void;
  /** Ceilings have changed, so a scheduling cycle is due. */
  onCeilingsChanged(): void;
}

/** Sends probes to replicas. */
export interface ReplicaProbe {
  /** The replica's answer, not validated; rejects if nothing comes within `timeoutMs`. */
  ask(replica: Replica, timeoutMs: number, signal: AbortSignal): Promise<unknown>;
}

/** How replicas are probed. */
export interface ProbeSettings {
  /** Interval between probes of one replica, in milliseconds. */
  intervalMs: number;
  /** Most probes of all replicas together in a second. */
  perSecond: number;
}

/** What every controller has, leading or not. */
export interface RolloutPorts extends RecordPorts {
  probe: ReplicaProbe;
  probing: ProbeSettings;
  /** A job by its record in the store; null: it was never accepted. */
  readJob(id: string): Promise<ServiceJob | null>;
  /** The limit of a team after all accepted quota transfers; null: there is no such team. */
  teamLimit(team: string): Promise<{ cpus: number; gpus: number } | null>;
  /** Whether every controller has rollouts enabled, by the member records in the store. */
  isEnabledOnAllControllers(signal: AbortSignal): Promise<boolean>;
}
