/**
 * Interfaces between the service and its extensions. Operators enable extensions in the settings; a disabled
 * one is not loaded and has no cost. Extensions access the leader only through `ExtensionHost`.
 */
import type { Runtime } from '@leverhatch/core/supervised-task';
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

/** The interface of a controller for the extensions enabled in it. */
export interface ControllerHost {
  store: Store;
  runtime: Runtime;
  settings: Settings;
  /** Whether this controller leads and has read all records. */
  isLeading(): boolean;
  /** Whether every controller has an extension enabled according to the member records in the store. */
  haveAllEnabled(feature: string, signal: AbortSignal): Promise<boolean>;
  /** Quotas of teams once all accepted quota transfers have completed. */
  promisedQuotas(): Promise<TeamQuotaMap>;
}

/** The interface of the leader for extensions in one term. */
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
  /** Whether a machine may get new tasks; requires recent heartbeats, among other conditions. */
  isSchedulable(machine: string): boolean;
  /** How many tasks of a job could start now, regardless of free capacity. */
  startableTasks(job: Job): number;
  /** Requests a scheduling cycle after a change that affects scheduling. */
  requestSchedule(): void;
}

/** An extension within one term of the leader. */
export interface TermExtension extends StartFence {
  /** Reads the extension's records. Nothing is scheduled before this has resolved. */
  load(signal: AbortSignal): Promise<void>;
  /** Runs the extension's supervised tasks until the term ends. */
  run(signal: AbortSignal): Promise<void>;
  /** Quotas in force now; without this method, those of the settings apply. */
  quotas?(): TeamQuotaMap;
  /** Maximum number of placed tasks of a job; without this method there is no limit. */
  placementLimit?(job: string): number;
  /** Whether consolidation may move replicas of a job; without this method, it may. */
  mayMove?(job: string): boolean;
  /** Called after each scheduling cycle with the tasks that only a quota kept from starting. */
  afterSchedulingCycle?(quotaLimited: QuotaLimitedTasks): void;
}

/** An extension enabled in this controller, whether or not it leads. */
export interface Extension {
  /** Its name in the controller's member record. */
  readonly feature: string;
  /** HTTP routes on the operators' listener. */
  readonly routes: OperatorRoutes;
  /** Creates the extension's part of a new term of this controller. */
  beginTerm(host: ExtensionHost): TermExtension;
  /** Quotas used to decide whether a job can ever run; without this method, those of the settings. */
  promisedQuotas?(): Promise<TeamQuotaMap>;
}

/** Creates an extension for one controller. */
export type CreateExtension = (host: ControllerHost) => Extension;
