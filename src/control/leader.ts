import { ZoneDelegateWatch, zoneDelegateRightMs } from '../election/zone-delegate.js';
import type { Succession } from '../election/succession.js';
import type { Term } from '../election/term.js';
import type { Catalogue } from '../fleet/catalogue.js';
import { Fleet } from '../fleet/fleet.js';
import { Rentals } from '../fleet/rentals.js';
import { StopCommands, type Callers } from '../fleet/stop-commands.js';
import type { MachineType } from '../fleet/types.js';
import type { Transport } from '../http/client.js';
import type { Counts } from '../jobs/job-api.js';
import { Ledger } from '../jobs/ledger.js';
import type { Job } from '../jobs/tracked-job.js';
import type { LayoutPolicy } from '../jobs/run-layout.js';
import { RunRewriter } from '../jobs/run-rewriter.js';
import { RECORD_FORMATS, type Membership } from '../membership/membership.js';
import { duty, type Runtime } from '@leverhatch/core/duty';
import type { Settings } from '../settings/deploy.js';
import type { Operator } from '../settings/operator.js';
import type { Store } from '../state/store.js';
import type { Order, Report } from '../wire/report.js';
import type { CancellationQuery } from '../peer/cancellation-query.js';
import { CancellationView, cancellationViewLimitMs } from './cancellation-view.js';
import { DependencyTracker } from './dependency-tracker.js';
import { ExpectedDemand } from './expected-demand.js';
import { DecisionRounds } from './decision-rounds.js';
import type { Extension, TeamAmounts } from './extension.js';
import { GangGate } from './gang-gate.js';
import { JobRecords } from './job-records.js';
import { LongPoll } from './long-poll.js';
import { MachineReconciler } from './machine-reconciler.js';
import { longestHoldMs, ReportHandler } from './report-handler.js';
import { SilentMachines } from './silent-machines.js';
import { TaskProgress } from './task-progress.js';
import { TaskStops } from './task-stops.js';
import { TeamLimits } from './team-limits.js';
import { TermExtensions } from './term-extensions.js';
import { UnreadRecords, type UnreadTerms } from './unread-records.js';
import { WorkerSilence, type SilentTerms } from './worker-silence.js';

export interface LeaderParts {
  store: Store;
  cloud: Transport;
  workers: Callers;
  catalogue: Catalogue;
  membership: Membership;
  settings: Settings;
  operator: Operator;
  runtime: Runtime;
  cloudTimeoutMs: number;
  cancellationQuery: CancellationQuery;
  silentTerms: SilentTerms;
  succession: Succession;
  unreadTerms: UnreadTerms;
  /** Whether the store serves another controller, which could lead. */
  othersServed(): boolean;
  /** Whom workers should report to rather than to this leader; null: nobody. */
  betterLeader(): string | null;
  /** Optional parts that are switched on. */
  extensions: readonly Extension[];
}

/** After what share of the leader lease without news of the job records the others are asked. */
const SILENT_STORE_SHARE = 0.5;

/** How many workers' leases a term lasts at least before office is handed over only to be safer. */
const SETTLED_LEASES = 2;

/** Prices move by up to a third and slowly; a call each half minute does not weigh on any cloud. */
const PRICES_MS = 30_000;

/**
 * All that a controller does while it leads. It lives for one term and is thrown away after it. This
 * module puts the parts together; each part has a module of its own.
 */
export class Leader {
  readonly jobs = new Map<string, Job>();
  readonly fleet: Fleet;
  readonly rentals: Rentals;
  readonly gate: GangGate;
  readonly reconciler: MachineReconciler;
  /** How long the leader lease lasts. */
  readonly lifetimeMs: number;
  readonly view: CancellationView;
  readonly silence: WorkerSilence;
  readonly unreadRecords: UnreadRecords;
  readonly silentMachines: SilentMachines;
  readonly teamLimits: TeamLimits;
  /** Optional parts that are switched on, in this term. */
  readonly extensions: TermExtensions;
  readonly ledger: Ledger;
  private readonly rewriter: RunRewriter;
  readonly zoneDelegates: ZoneDelegateWatch;
  readonly longPoll: LongPoll;
  readonly stopCommands: StopCommands;
  readonly stops: TaskStops;
  readonly records = new JobRecords(this);
  readonly dependencies = new DependencyTracker(this);
  readonly reports = new ReportHandler(this);
  readonly progress = new TaskProgress(this);
  readonly rounds = new DecisionRounds(this);
  readonly expectedDemand: ExpectedDemand;
  /** True once the cloud has listed its machines in this term. */
  listedOnce = false;

  constructor(
    readonly parts: LeaderParts,
    readonly term: Term,
    /** `successor`: whom the workers are sent to until the next leader is known. */
    readonly resign: (successor?: string) => void,
  ) {
    const { settings, runtime, store } = parts;
    this.lifetimeMs = settings.workers.leaseMs * parts.operator.election.lifetime;
    this.view = new CancellationView(cancellationViewLimitMs(settings.workers, this.lifetimeMs));
    this.silence = new WorkerSilence(term.startedAt, settings.workers, parts.silentTerms);
    this.unreadRecords = new UnreadRecords(term.startedAt, this.lifetimeMs, parts.unreadTerms);
    this.zoneDelegates = new ZoneDelegateWatch(
      store,
      runtime,
      zoneDelegateRightMs(this.lifetimeMs),
    );
    this.fleet = new Fleet(
      {
        running: (p) => this.progress.onRunning(p),
        exited: (p, why, saved) => this.progress.onExited(p, why, saved),
        lost: (p) => this.progress.onLost(p),
      },
      term.token,
      term.startedAt,
      settings.workers.leaseMs,
      this.zoneDelegates,
    );
    this.silentMachines = new SilentMachines(runtime.log, settings.workers.leaseMs, (m, now) =>
      this.fleet.leaseRanOut(m, now),
    );
    this.teamLimits = new TeamLimits(runtime.log, settings.workers.reportMs);
    this.longPoll = new LongPoll(runtime, longestHoldMs(settings.workers.reportMs));
    this.stopCommands = new StopCommands(
      parts.workers,
      runtime,
      term,
      settings.workers.reportMs,
      settings.machine.sockets,
      (r) => {
        this.fleet.direct(r);
      },
    );
    this.stops = this.createStops();
    this.extensions = this.beginExtensions();
    const layouts = this.layoutPolicy();
    this.ledger = this.createLedger(layouts);
    this.rewriter = new RunRewriter(store, runtime, this.ledger, this.jobs, layouts);
    this.rentals = this.createRentals();
    this.expectedDemand = new ExpectedDemand(this.jobs, settings);
    this.gate = new GangGate(parts.operator);
    this.reconciler = new MachineReconciler(
      this.fleet,
      this.rentals,
      settings,
      parts.operator,
      () => this.types,
      term.startedAt,
    );
  }

  private createStops(): TaskStops {
    const { settings, runtime } = this.parts;
    const { fleet, longPoll, stopCommands } = this;
    return new TaskStops(fleet, longPoll, stopCommands, settings.workers, runtime.clock);
  }

  private layoutPolicy(): LayoutPolicy {
    const { membership, store } = this.parts;
    return {
      rangesReadable: () => membership.allRead(RECORD_FORMATS.rangedRuns),
      leftoversKnown: () => membership.allRead(RECORD_FORMATS.leftoverRuns),
      rangesWanted: () => store.limits.recordsMustShrink,
    };
  }

  private createLedger(layouts: LayoutPolicy): Ledger {
    const { store, runtime, settings } = this.parts;
    const { term } = this;
    const endsWaitMs = settings.workers.leaseMs;
    return new Ledger(
      store,
      runtime,
      term,
      store.limits,
      layouts,
      endsWaitMs,
      {
        jobChanged: (job, version, record) => this.records.onJobRecord(job.id, version, record),
        recorded: (placements) => {
          for (const p of placements) if (p.stage === 'recording') p.stage = 'recorded';
          for (const p of placements) this.longPoll.release(p.machine);
        },
        forgotten: (placements) => {
          for (const p of placements) this.fleet.recorded(p);
        },
        contradiction: (what) => {
          runtime.log.error({ what }, 'giving up leadership');
          term.end();
        },
        ended: (job, phase) => this.dependencies.ended(job.id, phase, job.doneAt),
        settled: (job) => {
          job.failures.ended();
          this.jobs.delete(job.id);
        },
      },
      this.extensions.startFences,
    );
  }

  private createRentals(): Rentals {
    const { cloud, store, runtime, settings, cloudTimeoutMs } = this.parts;
    return new Rentals(cloud, store, runtime, settings, this.term, cloudTimeoutMs, {
      rented: (ids, rent) => {
        for (const id of ids) {
          const m = this.fleet.machine(id, runtime.clock.now());
          m.type ??= this.types.get(rent.type) ?? null;
          m.zone = rent.zone;
          m.spot = rent.spot;
          m.listedState ??= 'booting';
        }
        this.touch();
      },
      listed: (machines) => {
        this.reconciler.listed(machines, this.now);
        this.touch();
      },
      returned: (ids) => {
        this.reconciler.returned(ids, this.now);
        this.touch();
      },
    });
  }

  private beginExtensions(): TermExtensions {
    const { runtime, settings, extensions } = this.parts;
    return new TermExtensions(extensions, {
      ...{ runtime, settings, term: this.term, jobs: this.jobs, stops: this.stops },
      now: () => this.now,
      ready: () => this.records.ready,
      machine: (id) => this.fleet.machines.get(id),
      isUsable: (id) => {
        const m = this.fleet.machines.get(id);
        return m !== undefined && this.fleet.isUsable(m, this.now);
      },
      startable: (job) => this.extensions.startable(job),
      touch: () => this.touch(),
    });
  }

  get now(): number {
    return this.parts.runtime.clock.now();
  }

  /** Whether a worker's lease may be renewed now. */
  mayAnswer(now: number): boolean {
    return this.term.active(now) && this.view.mayRenew(now);
  }

  /** How soon a request that failed is made again. */
  get retryMs(): number {
    return this.parts.settings.workers.leaseMs / 50;
  }

  get types(): ReadonlyMap<string, MachineType> {
    return this.parts.catalogue.types.value ?? new Map();
  }

  /** What each team may have now. */
  teams(): TeamAmounts {
    return this.extensions.teams() ?? this.parts.settings.teams;
  }

  /** Something changed that the next round of decisions should see. */
  touch(): void {
    this.rounds.touch();
  }

  async run(): Promise<void> {
    const { runtime } = this.parts;
    const { signal } = this.term;
    const restartMs = this.parts.settings.workers.reportMs;
    const office = duty(runtime, 'office', signal, restartMs, (s) => this.watchOffice(s));
    await this.records.recover(signal);
    if (signal.aborted) return;
    await Promise.all([
      office,
      duty(runtime, 'held reports', signal, restartMs, (s) => this.longPoll.run(s)),
      duty(runtime, 'follow jobs', signal, restartMs, (s) => this.records.follow(s)),
      duty(runtime, 'cancellation query', signal, restartMs, (s) => this.queryCancellations(s)),
      duty(runtime, 'rounds', signal, restartMs, (s) => this.rounds.run(s)),
      duty(runtime, 'rewrite runs', signal, restartMs, (s) => this.rewriter.run(restartMs, s)),
      duty(runtime, 'leftover records', signal, restartMs, (s) =>
        this.ledger.leftovers.run(restartMs / 4, s),
      ),
      duty(runtime, 'machine list', signal, restartMs, (s) => this.listMachines(s)),
      duty(runtime, 'prices', signal, restartMs, (s) => this.refreshPrices(s)),
      this.extensions.run(signal),
    ]);
  }

  /** What to answer a worker's report; null if its lease must not be renewed now. */
  report(r: Report): Order[] | null | Promise<Order[] | null> {
    return this.reports.report(r);
  }

  /** A user was told that the job is cancelled; the store's own news of it may take longer. */
  announceCancelled(id: string): void {
    this.records.announceCancelled(id);
  }

  counts(id: string): Counts | null {
    const job = this.jobs.get(id);
    return job ? { done: job.doneCount, running: job.running } : null;
  }

  allCounts(): (Counts & { id: string })[] {
    const list: (Counts & { id: string })[] = [];
    for (const job of this.jobs.values()) {
      if (job.phase === 'open')
        list.push({ id: job.id, done: job.doneCount, running: job.running });
    }
    return list;
  }

  /**
   * While the store brings no news of the job records, the other controllers can tell which of them
   * their users know to be cancelled.
   */
  private async queryCancellations(signal: AbortSignal): Promise<void> {
    const { clock } = this.parts.runtime;
    while (!signal.aborted) {
      const silent = this.view.ageMs(this.now) > this.lifetimeMs * SILENT_STORE_SHARE;
      if (silent && this.term.active(this.now)) await this.collectCancellations();
      await clock.sleep(this.lifetimeMs / 8, signal);
    }
  }

  private async collectCancellations(): Promise<void> {
    const known = await this.parts.cancellationQuery.collect(
      this.view.completeAsOf,
      this.lifetimeMs / 8,
    );
    this.parts.runtime.log.debug(
      { jobs: known?.cancelled.size ?? null },
      'asked for cancellations',
    );
    if (!known) return;
    for (const id of known.cancelled) this.announceCancelled(id);
    this.view.completeAt(known.asOf);
  }

  /** Gives office up if another controller can do what this one cannot, or is better placed. */
  private async watchOffice(signal: AbortSignal): Promise<void> {
    const { runtime, othersServed, unreadTerms } = this.parts;
    while (!signal.aborted) {
      const unread = this.term.leased(this.now) && this.unreadRecords.isTooLong(this.now);
      if (unread && othersServed()) {
        runtime.log.warn({}, 'the records cannot be read, resigning');
        unreadTerms.resigned();
        this.resign();
      }
      this.handOver();
      await runtime.clock.sleep(this.lifetimeMs / 10, signal);
    }
  }

  /** Hands office over where silent controllers would cost the workers their leases if this one fell silent. */
  private handOver(): void {
    const { settings, runtime } = this.parts;
    const settled = this.now - this.term.startedAt > settings.workers.leaseMs * SETTLED_LEASES;
    if (!settled || !this.records.ready || !this.term.leased(this.now)) return;
    const successor = this.parts.betterLeader();
    if (successor === null) return;
    runtime.log.info({ successor }, 'handing over, the next controllers are silent');
    this.resign(successor);
  }

  private async listMachines(signal: AbortSignal): Promise<void> {
    const { settings, runtime } = this.parts;
    while (!signal.aborted) {
      if (await this.rentals.list()) this.listedOnce = true;
      await runtime.clock.sleep(
        this.listedOnce ? settings.cloud.listLagMs : settings.cloud.listLagMs / 10,
        signal,
      );
    }
  }

  private async refreshPrices(signal: AbortSignal): Promise<void> {
    const { catalogue, runtime } = this.parts;
    while (!signal.aborted) {
      await catalogue.ask(signal).catch(() => false);
      await runtime.clock.sleep(PRICES_MS, signal);
    }
  }
}
