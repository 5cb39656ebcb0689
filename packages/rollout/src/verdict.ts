/** Compares both versions under load over the same time window. */
import { build, type Histogram } from 'hdr-histogram-js';
import { readLatencies } from './latencies.js';
import type { ProbeAnswer } from './probe.js';
import type { SpecRecord } from './spec.js';
import type { Evidence } from './status.js';

/** The verdict is `undecided` if samples do not suffice after this many windows of complete time. */
const MAX_WINDOWS = 3;

/** A verdict is given after this many windows of total time, complete or not. */
const MAX_TOTAL_WINDOWS = 10;

/** Precision of the merged histograms in significant decimal digits. */
const SIGNIFICANT_DIGITS = 2;

/** The thresholds of a verdict; see `SpecRecord` for units. */
export type Thresholds = Pick<
  SpecRecord,
  'judgeSeconds' | 'minSamples' | 'percentile' | 'maxLatencyRatio' | 'maxErrorIncrease'
>;

/** Requests, errors and latencies of one version in one window. */
class VersionLoad {
  readonly latencies: Histogram = build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });
  requests = 0;
  errors = 0;

  add({ requests, errors, latencies }: ProbeAnswer): void {
    if (latencies !== null) this.latencies.add(readLatencies(latencies));
    this.requests += requests;
    this.errors += errors;
  }

  get errorRate(): number {
    return this.requests === 0 ? 0 : this.errors / this.requests;
  }

  /** Number of requests covered by both the error rate and the latency percentile. */
  get samples(): number {
    return Math.min(this.requests, this.latencies.totalCount + this.errors);
  }
}

/** The comparison window of one step; kept only in the memory of one leader. */
export class ComparisonWindow {
  private readonly old = new VersionLoad();
  private readonly new = new VersionLoad();
  private evaluatedAt: number;
  private wasComplete = false;
  /** Total time in which all new replicas of the step were proven, in milliseconds. */
  private completeMs = 0;

  /** @param startedAt monotonic time in milliseconds */
  constructor(private readonly startedAt: number) {
    this.evaluatedAt = startedAt;
  }

  /** Adds an answer; false if its histogram cannot be read. */
  add(version: 'old' | 'new', answer: ProbeAnswer): boolean {
    try {
      this[version].add(answer);
      return true;
    } catch {
      // An undecodable histogram makes the answer invalid; the caller counts a failed probe.
      return false;
    }
  }

  /**
   * The verdict; null if the window has not ended. Time in which new replicas are missing does not count, since
   * the loss of a machine says nothing about the version.
   *
   * @param now monotonic time in milliseconds
   * @param isComplete whether all new replicas of the step are proven now
   */
  evaluate(thresholds: Thresholds, now: number, isComplete: boolean): Evidence | null {
    if (isComplete && this.wasComplete) this.completeMs += now - this.evaluatedAt;
    this.evaluatedAt = now;
    this.wasComplete = isComplete;
    const windowMs = thresholds.judgeSeconds * 1000;
    if (now - this.startedAt >= windowMs * MAX_TOTAL_WINDOWS) {
      return this.evidence(thresholds, this.verdict(thresholds));
    }
    if (this.completeMs < windowMs) return null;
    const verdict = this.verdict(thresholds);
    if (verdict === 'undecided' && this.completeMs < windowMs * MAX_WINDOWS) return null;
    return this.evidence(thresholds, verdict);
  }

  private verdict(thresholds: Thresholds): Evidence['verdict'] {
    const samples = Math.min(this.old.samples, this.new.samples);
    if (samples < thresholds.minSamples) return 'undecided';
    const isSlower = (this.latencyRatio(thresholds) ?? 0) > thresholds.maxLatencyRatio;
    return isSlower || this.errorIncrease > thresholds.maxErrorIncrease
      ? 'worse'
      : 'better-or-same';
  }

  private latencyRatio({ percentile }: Thresholds): number | null {
    if (this.old.latencies.totalCount === 0 || this.new.latencies.totalCount === 0) return null;
    const oldLatency = this.old.latencies.getValueAtPercentile(percentile);
    return this.new.latencies.getValueAtPercentile(percentile) / Math.max(1, oldLatency);
  }

  private get errorIncrease(): number {
    return this.new.errorRate - this.old.errorRate;
  }

  private evidence(thresholds: Thresholds, verdict: Evidence['verdict']): Evidence {
    const ratio = this.latencyRatio(thresholds);
    const isSampled = this.old.requests > 0 && this.new.requests > 0;
    return {
      verdict,
      oldRequests: this.old.requests,
      newRequests: this.new.requests,
      latencyRatio: ratio === null ? null : roundToThousandths(ratio),
      errorIncrease: isSampled ? roundToThousandths(this.errorIncrease) : null,
    };
  }
}

const roundToThousandths = (value: number): number => Math.round(value * 1000) / 1000;
