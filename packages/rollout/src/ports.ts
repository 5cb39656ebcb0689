/** Interfaces that this package needs from the service. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';

/** The fields of a job that rollouts use. */
export interface ServiceJob {
  id: string;
  state: 'open' | 'cancelled' | 'done';
  isService: boolean;
  team: string;
  replicas: number;
  image: string;
  /** Resource request of one replica. */
  resources: { cpus: number; gpus: number };
}

/** A job known to the leader. */
export interface ScheduledJob extends ServiceJob {
  /** Replicas that are or may be on machines; each counts until it is confirmed to be gone. */
  placed: number;
  /** Whether it failed on every machine that was tried. */
  failing: boolean;
}

/** One start attempt of one replica. */
export interface Replica {
  /** Identifies this start attempt and its agent epoch. */
  key: string;
  job: string;
  task: number;
  attempt: number;
  machine: string;
  /** Agent epoch in which it was started. */
  agentEpoch: number;
  /** `HOST:PORT` at which its worker receives commands; null if unknown. */
  address: string | null;
  image: string;
  /** Its worker recently reported to this leader that it runs, and accepts no stops of former leaders. */
  running: boolean;
  /** This leader knows for certain that it has not run yet. */
  starting: boolean;
  /** It was told to stop. */
  stopping: boolean;
}

/** The leader's scheduler as used by rollouts. */
export interface SchedulerPort {
  /** Null if the job is unknown, has been dropped, or the leader has not read all records yet. */
  job(id: string): ScheduledJob | null;
  replicas(job: string): Replica[];
  /** Stops a replica on behalf of an operator; it does not count as a preemption. */
  withdraw(replica: Replica): void;
  /** Withdraws planned starts that were not sent yet until the job is within its limit. */
  withdrawStarts(job: string, limit: number): void;
  /** Requests a scheduling cycle after the ceilings changed. */
  onCeilingsChanged(): void;
}

/** Sends probes to replicas. */
export interface ReplicaProbe {
  /** The replica's unvalidated answer; rejects if none arrives within `timeoutMs`. */
  send(replica: Replica, timeoutMs: number, signal: AbortSignal): Promise<unknown>;
}

/** How replicas are probed. */
export interface ProbeSettings {
  /** Interval between two probes of one replica, in milliseconds. */
  intervalMs: number;
  /** Maximum number of probes per second over all replicas. */
  perSecond: number;
}

/** Dependencies available in every controller, leading or not. */
export interface RolloutPorts extends RecordPorts {
  probe: ReplicaProbe;
  probing: ProbeSettings;
  /** Reads a job from its record in the store; null if it was never accepted. */
  readJob(id: string): Promise<ServiceJob | null>;
  /** The resource limit of a team after all accepted quota transfers; null if the team does not exist. */
  teamLimit(team: string): Promise<{ cpus: number; gpus: number } | null>;
  /** Whether every controller has rollouts enabled according to the member records in the store. */
  isEnabledOnAllControllers(signal: AbortSignal): Promise<boolean>;
}
