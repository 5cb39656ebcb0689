import assert from 'node:assert/strict';
import type { ApiAnswer } from '@leverhatch/operators/api-answer';
import type { Extension } from '../../src/control/extensions/extension.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** For so many seconds a controller may not serve. */
const MOST_SECONDS = 60;

/** A part of one controller; undefined: the controller is down, or has the part switched off. */
export function extensionOf<Part extends Extension>(
  world: SimulatedCluster,
  node: number,
  kind: abstract new (...parts: never[]) => Part,
): Part | undefined {
  const extensions = world.nodes[node]!.controller?.extensions ?? [];
  return extensions.find((extension): extension is Part => extension instanceof kind);
}

/** The interface of a part, such that what operators ask and are answered there shows at its border. */
export function observed<Api extends object>(world: SimulatedCluster, node: number, api: Api): Api {
  return new Proxy(api, {
    get: (target, name) => {
      const member: unknown = Reflect.get(target, name);
      if (typeof member !== 'function') return member;
      return (...args: unknown[]): unknown => {
        const result: unknown = Reflect.apply(member, target, args);
        void Promise.resolve(result).then((answer) =>
          world.onCrossing('operator', world.nodes[node]!.name, String(name), args, answer),
        );
        return result;
      };
    },
  });
}

/** Asks each second until the controller serves; `ask` answers undefined while it is down. */
export async function askUntilServed(
  cluster: SimulatedCluster,
  ask: () => Promise<ApiAnswer> | undefined,
): Promise<ApiAnswer> {
  for (let i = 0; i < MOST_SECONDS; i++) {
    const asked = ask();
    const answer = asked ? await cluster.drive(asked) : null;
    if (answer && answer.status !== 503) return answer;
    await cluster.pass(1);
  }
  return assert.fail('never served');
}
