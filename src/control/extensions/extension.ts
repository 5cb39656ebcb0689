/**
 * How optional parts plug into the service. A part is switched on by operators; what is off is not
 * loaded, and costs nothing. Parts see the leader only as `ExtensionHost`.
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

/** What each team may have. */
export type TeamQuotaMap = ReadonlyMap<string, Pick<Team, 'guarantee' | 'limit'>>;

/** What a part sees of the controller that it is switched on in. */
export interface ControllerHost {
  store: Store;
  runtime: Runtime;
  settings: Settings;
  /** Whether this controller leads and has read all records. */
  isLeading(): boolean;
  /** Whether every controller has a part switched on, as the store says now. */
  haveAllEnabled(feature: string, signal: AbortSignal): Promise<boolean>;
  /** What teams have or will have, with the shares that were moved. */
  promisedQuotas(): Promise<TeamQuotaMap>;
}

/** What a part sees of the leader in one term. */
export interface ExtensionHost {
  readonly runtime: Runtime;
  readonly settings: Settings;
  readonly term: Term;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly taskStopper: Pick<TaskStopper, 'stop' | 'stopAll' | 'checkpointGraceMs'>;
  now(): number;
  /** Whether the leader has read all records. */
  isReady(): boolean;
  machine(id: string): Machine | undefined;
  /** Whether a machine may get new work: it was heard lately, among other things. */
  isSchedulable(machine: string): boolean;
  /** How many tasks of a job could start now, whatever room there is. */
  startableTasks(job: Job): number;
  /** Something changed that the next round of decisions should see. */
  requestSchedule(): void;
}

/** A part in one term of the controller that leads. */
export interface TermExtension extends StartFence {
  /** Reads the part's records. Nothing is decided before this has come about. */
  load(signal: AbortSignal): Promise<void>;
  /** What the part does until the term ends. */
  run(signal: AbortSignal): Promise<void>;
  /** What each team may have now; without it as the settings say. */
  quotas?(): TeamQuotaMap;
  /** How many tasks of a job may be placed at once; without it all of them. */
  placementLimit?(job: string): number;
  /** Whether replicas of a job may be moved merely to empty their machine. */
  mayMove?(job: string): boolean;
  /** A round of decisions has ended. */
  afterSchedulingCycle?(quotaLimited: QuotaLimitedTasks): void;
}

/** A part that is switched on in this controller, leading or not. */
export interface Extension {
  /** What the controller says of itself that has it. */
  readonly feature: string;
  /** What operators may ask. */
  readonly routes: OperatorRoutes;
  /** A term of this controller begins. */
  beginTerm(host: ExtensionHost): TermExtension;
  /** What teams have or will have, for judging whether a job can ever run; without it as the settings say. */
  promisedQuotas?(): Promise<TeamQuotaMap>;
}

/** Makes a part for one controller. */
export type CreateExtension = (host: ControllerHost) => Extension;
