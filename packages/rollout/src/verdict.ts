/** Compares the two versions under load, over one and the same window. */
import { build, type Histogram } from 'hdr-histogram-js';
import { readLatencies } from './latencies.js';
import type { ProbeAnswer } from './probe.js';
import type { SpecRecord } from './spec.js';
import type { Evidence } from './status.js';

/** So many windows may pass without samples enough, before it is given up. */
const MOST_WINDOWS = 3;

/** The same where new replicas are missing for a part of the time. */
const MOST_WINDOWS_IN_ALL = 10;

const DIGITS = 2;

/** What a verdict is judged by. */
export type Thresholds = Pick<
  SpecRecord,
  'judgeSeconds' | 'minSamples' | 'percentile' | 'maxLatencyRatio' | 'maxErrorIncrease'
>;

class VersionLoad {
  readonly latencies: Histogram = build({ numberOfSignificantValueDigits: DIGITS });
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

  /** Requests that both the error rate and the percentile rest on. */
  get samples(): number {
    return Math.min(this.requests, this.latencies.totalCount + this.errors);
  }
}

/** One window of judging; it lives in the memory of one leader. */
export class LoadWindow {
  private readonly old = new VersionLoad();
  private readonly new = new VersionLoad();
  private lookedAt: number;
  private wasComplete = false;
  /** Time in which all new replicas were proven. */
  private countedMs = 0;

  constructor(private readonly startedAt: number) {
    this.lookedAt = startedAt;
  }

  /** Takes in an answer; false if its histogram cannot be read. */
  add(version: 'old' | 'new', answer: ProbeAnswer): boolean {
    try {
      this[version].add(answer);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * What the window shows by now; null: it has not ended. Time in which new replicas are missing does not
   * count: a version is not to blame for a machine.
   *
   * @param complete whether all new replicas of the step are proven now
   */
  judge(thresholds: Thresholds, now: number, complete: boolean): Evidence | null {
    if (complete && this.wasComplete) this.countedMs += now - this.lookedAt;
    this.lookedAt = now;
    this.wasComplete = complete;
    const windowMs = thresholds.judgeSeconds * 1000;
    if (now - this.startedAt >= windowMs * MOST_WINDOWS_IN_ALL) {
      return this.evidence(thresholds, this.verdict(thresholds));
    }
    if (this.countedMs < windowMs) return null;
    const verdict = this.verdict(thresholds);
    if (verdict === 'undecided' && this.countedMs < windowMs * MOST_WINDOWS) return null;
    return this.evidence(thresholds, verdict);
  }

  private verdict(thresholds: Thresholds): Evidence['verdict'] {
    const enough = Math.min(this.old.samples, this.new.samples) >= thresholds.minSamples;
    if (!enough) return 'undecided';
    const slower = this.latencyRatio(thresholds)! > thresholds.maxLatencyRatio;
    return slower || this.errorIncrease > thresholds.maxErrorIncrease ? 'worse' : 'better-or-same';
  }

  private latencyRatio({ percentile }: Thresholds): number | null {
    if (this.old.latencies.totalCount === 0 || this.new.latencies.totalCount === 0) return null;
    const before = this.old.latencies.getValueAtPercentile(percentile);
    return this.new.latencies.getValueAtPercentile(percentile) / Math.max(1, before);
  }

  private get errorIncrease(): number {
    return this.new.errorRate - this.old.errorRate;
  }

  private evidence(thresholds: Thresholds, verdict: Evidence['verdict']): Evidence {
    const ratio = this.latencyRatio(thresholds);
    const sampled = this.old.requests > 0 && this.new.requests > 0;
    return {
      verdict,
      oldRequests: this.old.requests,
      newRequests: this.new.requests,
      latencyRatio: ratio === null ? null : rounded(ratio),
      errorIncrease: sampled ? rounded(this.errorIncrease) : null,
    };
  }
}

const rounded = (value: number): number => Math.round(value * 1000) / 1000;
