import type { PeerTransport } from '../peer/peer-transport.js';
import type { Clock } from '@leverhatch/core/clock';

/** What a worker spends on a controller that says nothing: the wait for an answer, and a pause. */
const ANSWER_WAIT_MS = 4000;
const PAUSE_MS = 1000;

/** Reports come at their interval give or take a quarter. */
const LATEST_REPORT = 1.25;

/** A controller speaks to the others once a report interval; after so many it counts as silent. */
const SILENT_REPORTS = 1.5;

/** For what share of the workers' lease the controllers behind the leader are silent before it hands over. */
const HAND_OVER_SHARE = 0.5;

/** What is needed to tell which controllers a worker passes, and for how long it may. */
export interface SuccessionFacts {
  self: string;
  /** The zone of each controller, this one included. */
  zones: ReadonlyMap<string, string>;
  reportMs: number;
  leaseMs: number;
}

/**
 * Which controllers a worker tries after another, and whether it finds one that speaks before its
 * lease ends. A worker whose controller says nothing tries the next one of its list, and waits for
 * each silent one in full: two in a row can take a whole lease. No controller can shorten that walk
 * once it has begun, so it counts who leads before: one behind which a controller speaks.
 *
 * The order is taken to be that of the controllers' names. Nothing but a short wait rests on it.
 */
export class Succession {
  private readonly order: string[];

  constructor(
    private readonly clock: Clock,
    private readonly peerTransport: PeerTransport,
    private readonly facts: SuccessionFacts,
  ) {
    this.order = [facts.self, ...peerTransport.peers].sort((a, b) =>
      a.localeCompare(b, 'en', { numeric: true }),
    );
  }

  /** A controller that has ended, so that connections to it are refused at once, is not silent. */
  private isSilent(member: string, forMs = this.facts.reportMs * SILENT_REPORTS): boolean {
    if (member === this.facts.self) return false;
    const heardAt = this.peerTransport.lastHeardAt(member);
    return heardAt !== null && this.clock.now() - heardAt > forMs;
  }

  /** Whether it is heard now; one whose connection was closed neither speaks nor is silent. */
  private speaks(member: string): boolean {
    return this.peerTransport.lastHeardAt(member) !== null && !this.isSilent(member);
  }

  /** How long a worker takes at most to pass so many silent controllers, from its last answered report. */
  private passingMs(silent: number): number {
    return this.facts.reportMs * LATEST_REPORT + silent * (ANSWER_WAIT_MS + PAUSE_MS);
  }

  /**
   * How long workers may take to come here, past every controller that is silent now. The leader
   * before may speak to us and be silent to them alone; those that speak cost them a pause each.
   */
  get searchMs(): number {
    const others = this.order.length - 1;
    const silent = Math.max(1, this.order.filter((member) => this.isSilent(member)).length);
    return this.passingMs(silent) + Math.max(0, others - silent) * PAUSE_MS;
  }

  /** The other controllers in the order in which workers try them after this one. */
  private after(member: string): string[] {
    const at = this.order.indexOf(member);
    return [...this.order.slice(at + 1), ...this.order.slice(0, at)];
  }

  /** Whether a worker comes in time to the controller at this place of its walk; -1: there is none. */
  private isInTime(place: number): boolean {
    return place >= 0 && this.passingMs(place + 1) < this.facts.leaseMs;
  }

  /** Whether the workers of this controller would find the next in time if it fell silent. */
  private isCovered(member: string): boolean {
    return this.isInTime(this.after(member).findIndex((m) => !this.isSilent(m)));
  }

  /**
   * The same for this controller, with those alone for silent that have been so for long and are not
   * behind a cut between zones: workers there are kept by a delegate of their zone, which would lose
   * them with a change of leader.
   */
  private isCoveredForNow(): boolean {
    const { self, leaseMs } = this.facts;
    const forMs = leaseMs * HAND_OVER_SHARE;
    const next = this.after(self).findIndex((m) => !this.isSilent(m, forMs) || this.isCutOff(m));
    return this.isInTime(next);
  }

  /** Whether nobody in the zone of this controller is heard: another zone, perhaps behind a cut. */
  private isCutOff(member: string): boolean {
    const { zones } = this.facts;
    return this.order.every((m) => zones.get(m) !== zones.get(member) || this.isSilent(m));
  }

  /**
   * Whether the workers of each other zone, if they could reach none but their own, would find a
   * controller there in time. All others are silent to them then, those beside this one as well.
   */
  private isCoveredAcrossZones(member: string): boolean {
    const { zones } = this.facts;
    const after = this.after(member);
    const others = new Set(after.map((m) => zones.get(m)).filter((z) => z !== zones.get(member)));
    return [...others].every((zone) =>
      this.isInTime(after.findIndex((m) => zones.get(m) === zone)),
    );
  }

  /**
   * To whom the leader should hand over, since its workers would not find the next controller in time
   * if it fell silent and that one's would; null: it should not. `serves`: whether the state service
   * serves a controller.
   */
  handOverTo(serves: (member: string) => boolean): string | null {
    const { self } = this.facts;
    if (this.isCoveredForNow()) return null;
    const better = (m: string): boolean =>
      m !== self && this.speaks(m) && serves(m) && this.isCovered(m);
    return this.order.find(better) ?? null;
  }

  /**
   * Whether another controller should lead rather than this one, since its workers would find the
   * next one in time and ours would not. `except`: the last leader, which does not contest.
   */
  othersFirst(except: string | null): boolean {
    return this.othersFit((m) => this.isCovered(m), except);
  }

  /** The same for workers of other zones, if the zones were cut off from each other. */
  othersFirstAcrossZones(except: string | null): boolean {
    return this.othersFit((m) => this.isCoveredAcrossZones(m), except);
  }

  private othersFit(fits: (member: string) => boolean, except: string | null): boolean {
    const { self } = this.facts;
    if (fits(self)) return false;
    return this.order.some((m) => m !== self && m !== except && this.speaks(m) && fits(m));
  }
}
