/**
 * How extensions plug into the service. Operators enable an extension; one that is disabled is not
 * loaded, and costs nothing. Extensions see the leader only as `ExtensionHost`.
 */
import type { Runtime } from '@leverhatch/core/duty';
import type { OperatorRoutes } from '@leverhatch/operators/listener';
import type { Term } from '../../election/term.js';
import type { Machine } from '../../fleet/machine.js';
import type { StartFence } from '../../jobs/start-fence.js';
import type { Job } from '../../jobs/tracked-job.js';
import type { QuotaLimitedTasks } from '../../scheduler/scheduling-model.js';
import type { Settings, Team } from '../../settings/deploy.js';
import type { Store } from '../../state/store.js';
import type { TaskStopper } from '../reconciliation/task-stopper.js';

/** Guarantee and limit of each team, by its name. */
export type TeamQuotaMap = ReadonlyMap<string, Pick<Team, 'guarantee' | 'limit'>>;

/** What an extension sees of the controller that has it enabled. */
export interface ControllerHost {
  store: Store;
  runtime: Runtime;
  settings: Settings;
  /** Whether this controller leads and has read all records. */
  isLeading(): boolean;
  /** Whether every controller has an extension enabled, by the member records in the store. */
  haveAllEnabled(feature: string, signal: AbortSignal): Promise<boolean>;
  /** Quotas that teams have or will have, after all accepted quota transfers. */
  promisedQuotas(): Promise<TeamQuotaMap>;
}

/** What an extension sees of the leader in one term. */
export interface ExtensionHost {
  readonly runtime: Runtime;
  readonly settings: Settings;
  readonly term: Term;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly taskStopper: Pick<TaskStopper, 'stop' | 'stopAll' | 'checkpointGraceMs'>;
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Whether the leader has read all records. */
  isReady(): boolean;
  machine(id: string): Machine | undefined;
  /** Whether a machine may get new work: its heartbeats are recent, among other things. */
  isSchedulable(machine: string): boolean;
  /** How many tasks of a job could start now, regardless of free capacity. */
  startableTasks(job: Job): number;
  /** Requests a scheduling cycle, after a change that it should see. */
  requestSchedule(): void;
}

/** An extension in one term of the leader. */
export interface TermExtension extends StartFence {
  /** Reads the extension's records. Nothing is scheduled before this has resolved. */
  load(signal: AbortSignal): Promise<void>;
  /** Runs the extension's supervised tasks until the term ends. */
  run(signal: AbortSignal): Promise<void>;
  /** Quotas in force now; without this method those of the settings are. */
  quotas?(): TeamQuotaMap;
  /** How many tasks of a job may be placed at once; without this method all of them. */
  placementLimit?(job: string): number;
  /** Whether consolidation may move replicas of a job; without this method it may. */
  mayMove?(job: string): boolean;
  /** Called after each scheduling cycle, with the tasks that a quota kept from starting. */
  afterSchedulingCycle?(quotaLimited: QuotaLimitedTasks): void;
}

/** An extension that is enabled in this controller, leading or not. */
export interface Extension {
  /** The name under which the member record of the controller lists it. */
  readonly feature: string;
  /** Routes below the operators' listener. */
  readonly routes: OperatorRoutes;
  /** Begins a term of this controller. */
  beginTerm(host: ExtensionHost): TermExtension;
  /** Quotas that decide whether a job can ever run; without this method those of the settings do. */
  promisedQuotas?(): Promise<TeamQuotaMap>;
}

/** Creates an extension for one controller. */
export type CreateExtension = (host: ControllerHost) => Extension;
