import type { TermPort } from '@leverhatch/core/term';
import { KEYS } from '../../state/keys.js';
import type { ExtensionHost } from './extension.js';

/** The term of the leader, as the packages of optional parts see it. */
export function termPort({ term, now }: Pick<ExtensionHost, 'term' | 'now'>): TermPort {
  return {
    id: term.id,
    signal: term.signal,
    leaderCondition: () => ({ key: KEYS.leader, version: term.fencingToken }),
    holdsLease: () => term.holdsLease(now()),
    end: () => term.end(),
  };
}
