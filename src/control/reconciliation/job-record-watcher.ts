/** Reads the job records at the start of a term, and watches them during the term. */
import { setMaxListeners } from 'node:events';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { ZoneDelegateWatch } from '../../election/zone-delegate.js';
import type { Fleet } from '../../fleet/fleet.js';
import type { MachineProvisioner } from '../../fleet/machine-provisioner.js';
import type { JobRecordWriter } from '../../jobs/job-record-writer.js';
import { readJobEntries } from '../../jobs/job-reader.js';
import type { JobRestoration } from '../../jobs/job-restoration.js';
import { Job } from '../../jobs/tracked-job.js';
import { parseJob, tasksPerRange, tasksPerRecord, type JobRecord } from '../../jobs/records.js';
import { RunRecordReader, type UnreadableRunRecord } from '../../jobs/run-reader.js';
import { RECORD_FORMATS, type Membership } from '../../membership/membership.js';
import { MAX_CANCELLATIONS } from '../../peer/frames.js';
import { jobIdFromKey, KEYS } from '../../state/keys.js';
import type { Settings } from '../../settings/deploy.js';
import { RevisionCompactedError, type Entry, type Store } from '../../state/store.js';
import type { DependencyTracker } from '../dependencies/dependency-tracker.js';
import type { TermExtensions } from '../extensions/term-extensions.js';
import type { MessageGuard } from '../leadership/message-guard.js';
import type { RecordReadMonitor } from '../leadership/record-read-monitor.js';
import type { CancellationView } from '../partition/cancellation-view.js';
import type { MachineReconciler } from './machine-reconciler.js';
import type { TaskStopper } from './task-stopper.js';

/** How long one watch request waits for changes, as a fraction of the leader lease. */
const WATCH_RATIO = 0.25;

/** Dependencies of `JobRecordWatcher`. */
export interface JobRecordWatcherContext {
  readonly runtime: Runtime;
  readonly store: Store;
  readonly settings: Pick<Settings, 'state' | 'workers'>;
  readonly membership: Pick<Membership, 'refresh' | 'allRead'>;
  readonly leaderLeaseMs: number;
  /** Delay before a failed request is retried, in milliseconds. */
  readonly retryMs: number;
  readonly jobs: Map<string, Job>;
  readonly fleet: Pick<Fleet, 'addPlacement'>;
  readonly provisioner: Pick<MachineProvisioner, 'restore'>;
  readonly reconciler: Pick<MachineReconciler, 'recovered'>;
  readonly zoneDelegates: Pick<ZoneDelegateWatch, 'refresh'>;
  readonly extensions: Pick<TermExtensions, 'load'>;
  readonly recordWriter: Pick<JobRecordWriter, 'flush' | 'leftovers'>;
  readonly dependencies: Pick<DependencyTracker, 'add' | 'clear' | 'onJobEnded' | 'recovered'>;
  readonly taskStopper: Pick<TaskStopper, 'stopAll'>;
  readonly cancellationView: Pick<CancellationView, 'completeAt'>;
  readonly recordReadMonitor: RecordReadMonitor;
  readonly messageGuard: Pick<MessageGuard, 'run'>;
  requestSchedule(): void;
}

/** Restores the records of earlier leaders at the start of a term, and then watches job records. */
export class JobRecordWatcher {
  private readonly recovery = new AbortController();
  /** The store revision up to which changes of job records have been processed. */
  private revision = 0;
  /** Jobs that were announced as cancelled before recovery was complete. */
  private readonly announcedCancellations = new Set<string>();

  constructor(private readonly context: JobRecordWatcherContext) {
    // Every heartbeat that is held until recovery adds a listener.
    setMaxListeners(0, this.recovery.signal);
  }

  /**
   * True once recovery is complete; before that no heartbeat is applied or answered with commands, and
   * no worker lease is renewed.
   */
  get isRecovered(): boolean {
    return this.recovery.signal.aborted;
  }

  /** Aborted once recovery is complete. */
  get recoveredSignal(): AbortSignal {
    return this.recovery.signal;
  }

  /** Reads all records, with unlimited retries. */
  async recover(signal: AbortSignal): Promise<void> {
    const { runtime } = this.context;
    for (;;) {
      try {
        const sentAt = this.context.runtime.clock.now();
        const revision = await this.readJobs(signal);
        // No other controller writes run records while our leader key exists.
        const runs = await this.readRuns(signal);
        const endedJobs = await this.endedJobsOf(runs.unreadable, signal);
        const provisioningRequests = await this.range(KEYS.provisioningRequests, signal);
        await this.context.zoneDelegates.refresh(signal);
        await this.context.membership.refresh(signal);
        await this.context.extensions.load(signal);
        this.restoreRuns(runs, endedJobs);
        for (const entry of provisioningRequests) this.context.provisioner.restore(entry);
        this.context.reconciler.recovered(this.context.jobs.size > 0);
        for (const id of this.announcedCancellations) this.onCancellationAnnounced(id);
        this.revision = revision;
        this.context.cancellationView.completeAt(sentAt);
        this.recovery.abort();
        this.context.recordReadMonitor.recordRecovery(this.context.runtime.clock.now());
        this.announcedCancellations.clear();
        this.context.dependencies.recovered();
        for (const job of this.context.jobs.values()) this.context.recordWriter.flush(job);
        runtime.log.info({ jobs: this.context.jobs.size, runs: runs.count }, 'recovered');
        return;
      } catch (error) {
        signal.throwIfAborted();
        this.context.recordReadMonitor.recordFailure(error);
        runtime.log.debug({ error: String(error) }, 'recovery failed, retrying');
        await runtime.clock.sleep(this.context.retryMs, signal);
      }
    }
  }

  private async range(prefix: string, signal: AbortSignal): Promise<Entry[]> {
    const { items } = await this.context.store.range(prefix, signal);
    this.context.recordReadMonitor.recordProgress();
    return items;
  }

  /** Reads all job records page by page; returns the revision from which to watch them. */
  private async readJobs(signal: AbortSignal): Promise<number> {
    this.context.jobs.clear();
    this.context.dependencies.clear();
    return this.context.store.forEachPage(
      KEYS.jobs,
      (page) => {
        this.context.recordReadMonitor.recordProgress();
        page.forEach((entry) => this.onJobEntry(entry));
      },
      signal,
    );
  }

  /** Reads all run records page by page into the jobs that were read before. */
  private async readRuns(signal: AbortSignal): Promise<RunRecordReader> {
    const reader = new RunRecordReader((id) => this.context.jobs.get(id) ?? null);
    await this.context.store.forEachPage(
      KEYS.runs,
      (page) => {
        this.context.recordReadMonitor.recordProgress();
        reader.read(page);
      },
      signal,
    );
    return reader;
  }

  /** The jobs of these run records that have ended, so that only their final state is stored. */
  private async endedJobsOf(
    records: readonly UnreadableRunRecord[],
    signal: AbortSignal,
  ): Promise<ReadonlySet<string>> {
    const unknown = new Set(records.filter(({ job }) => job === null).map(({ id }) => id));
    const ended = new Set<string>();
    if (unknown.size === 0) return ended;
    const entries = await readJobEntries(this.context.store, [...unknown], { signal });
    this.context.recordReadMonitor.recordProgress();
    for (const [id, { value }] of entries) {
      const record = parseJob(value);
      const isFinal = record !== null && (!record.spec || record.at === undefined);
      if (isFinal && record.phase !== 'open') ended.add(id);
    }
    return ended;
  }

  private restoreRuns(
    { restorations, unreadable }: RunRecordReader,
    endedJobs: ReadonlySet<string>,
  ): void {
    const { runtime, store } = this.context;
    const perRange = tasksPerRange(store.limits.smallest().valueBytes);
    for (const { id, key, version, job } of unreadable) {
      if (job === null && endedJobs.has(id)) {
        this.context.recordWriter.leftovers.add([{ key, version }]);
        continue;
      }
      // Tasks of an unreadable record may still be running, so the job must not start them again.
      runtime.log.error({ key }, 'unreadable run record, counting all tasks of its job as running');
      if (job) job.isUnreadable = true;
    }
    for (const [job, restoration] of restorations) this.restoreJob(job, restoration, perRange);
  }

  private restoreJob(job: Job, restoration: JobRestoration, perRange: number): void {
    const { clock } = this.context.runtime;
    const stopAtOnce = { graceMs: 0 };
    for (const placement of restoration.finish(perRange, clock.now(), clock.wall())) {
      this.context.fleet.addPlacement(placement, clock.now());
      if (job.phase !== 'open') job.placements.setStop(placement, stopAtOnce);
    }
    const { membership } = this.context;
    if (!job.hasMismatchedLayout || membership.allRead(RECORD_FORMATS.rangedRuns)) return;
    // Only ranged records could supersede these records, and not every controller can read those.
    this.context.runtime.log.error(
      { job: job.id },
      'run records use another layout, counting all tasks of the job as running',
    );
    job.isUnreadable = true;
  }

  /**
   * Watches the job records. Each response is complete as of when its request was sent, so the
   * requests are short even if nothing changes, which keeps the cancellation view up to date.
   */
  async watch(signal: AbortSignal): Promise<void> {
    const { store, runtime, cancellationView, recordReadMonitor, leaderLeaseMs } = this.context;
    while (!signal.aborted) {
      const sentAt = this.context.runtime.clock.now();
      try {
        const update = await store.watch(
          KEYS.jobs,
          this.revision,
          leaderLeaseMs * WATCH_RATIO,
          signal,
        );
        for (const event of update.events) if (!('gone' in event)) this.onWatchedEntry(event);
        this.revision = update.revision;
        cancellationView.completeAt(sentAt);
        recordReadMonitor.recordSuccess(this.context.runtime.clock.now());
      } catch (error) {
        if (signal.aborted) return;
        recordReadMonitor.recordFailure(error);
        // If only the watch fails, the records can still be read as a whole.
        const stalled = recordReadMonitor.ageMs(this.context.runtime.clock.now()) > leaderLeaseMs;
        if (!(error instanceof RevisionCompactedError || stalled) || !(await this.reread(signal))) {
          await runtime.clock.sleep(this.context.retryMs, signal);
        }
      }
    }
  }

  /** Reads all job records again; false if that fails. */
  private async reread(signal: AbortSignal): Promise<boolean> {
    const sentAt = this.context.runtime.clock.now();
    try {
      this.revision = await this.context.store.forEachPage(
        KEYS.jobs,
        (page) => page.forEach((entry) => this.onWatchedEntry(entry)),
        signal,
      );
      this.context.cancellationView.completeAt(sentAt);
      this.context.recordReadMonitor.recordSuccess(this.context.runtime.clock.now());
      return true;
    } catch {
      return false;
    }
  }

  /** Handles a cancellation announced to a user; the watch may report it later. */
  onCancellationAnnounced(id: string): void {
    // All of them are in the store, so any beyond the limit are read by recovery or the watch.
    if (!this.isRecovered && this.announcedCancellations.size < MAX_CANCELLATIONS)
      this.announcedCancellations.add(id);
    const job = this.context.jobs.get(id);
    if (job?.phase !== 'open') return;
    job.isCancellationAnnounced = true;
    this.context.taskStopper.stopAll(job, 0);
  }

  private onWatchedEntry(entry: Entry): void {
    const message = { message: 'job record', job: jobIdFromKey(entry.key) };
    void this.context.messageGuard.run(message, () => this.onJobEntry(entry));
  }

  onJobEntry(entry: Entry): void {
    const record = parseJob(entry.value);
    if (!record) {
      this.context.runtime.log.error({ key: entry.key }, 'unreadable job record');
      return;
    }
    this.onJobRecord(jobIdFromKey(entry.key), entry.version, record);
  }

  onJobRecord(id: string, version: number, record: JobRecord): void {
    const known = this.context.jobs.get(id);
    if (known) this.updateJob(known, version, record);
    else this.addJob(id, version, record);
  }

  private addJob(id: string, version: number, record: JobRecord): void {
    if (!record.spec || record.at === undefined) {
      this.context.dependencies.onJobEnded(id, record.phase, record.doneAt ?? null);
      return;
    }
    const { settings } = this.context;
    const job = new Job(
      id,
      record.spec,
      record.at,
      version,
      tasksPerRecord(settings.state.valueBytes),
      settings.workers.heartbeatIntervalMs,
    );
    job.phase = record.phase;
    job.doneAt = record.doneAt ?? null;
    this.context.jobs.set(id, job);
    if (record.needs) this.context.dependencies.add(job, record.needs);
    this.context.dependencies.onJobEnded(id, record.phase, job.doneAt);
    // During recovery run records are not restored yet: a cancelled job would seem to have no tasks.
    if (this.isRecovered) this.context.recordWriter.flush(job);
    this.context.requestSchedule();
  }

  private updateJob(known: Job, version: number, record: JobRecord): void {
    if (version <= known.version) return;
    known.version = version;
    known.phase = record.phase;
    known.isPhaseStored = true;
    known.doneAt ??= record.doneAt ?? null;
    this.context.dependencies.onJobEnded(known.id, record.phase, known.doneAt);
    if (record.phase !== 'open') this.context.taskStopper.stopAll(known, 0);
    this.context.recordWriter.flush(known);
    this.context.requestSchedule();
  }
}
