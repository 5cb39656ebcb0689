/** Adapts the leader's term to the port that extension packages use. */
import type { TermPort } from '@leverhatch/core/term';
import { KEYS } from '../../state/keys.js';
import type { ExtensionHost } from './extension.js';

/** The leader's term as a `TermPort`. */
export function termPort({ term, now }: Pick<ExtensionHost, 'term' | 'now'>): TermPort {
  return {
    id: term.id,
    signal: term.signal,
    leaderCondition: () => ({ key: KEYS.leader, version: term.fencingToken }),
    holdsLease: () => term.holdsLease(now()),
    end: () => term.end(),
  };
}
