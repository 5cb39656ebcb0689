import assert from 'node:assert/strict';
import type { OperatorResponse } from '@leverhatch/operators/operator-response';
import type { Extension } from '../../src/control/extensions/extension.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The longest time for which a controller may be unavailable. */
const MAX_WAIT_SECONDS = 60;

/** An extension of one controller; undefined if it is disabled or the controller is down. */
export function extensionOf<Part extends Extension>(
  cluster: SimulatedCluster,
  node: number,
  extensionClass: abstract new (...parts: never[]) => Part,
): Part | undefined {
  const extensions = cluster.nodes[node]!.controller?.extensions ?? [];
  return extensions.find((extension): extension is Part => extension instanceof extensionClass);
}

/** Wraps the API of an extension, so that operators' requests and responses are traced. */
export function traced<Api extends object>(cluster: SimulatedCluster, node: number, api: Api): Api {
  return new Proxy(api, {
    get: (target, name) => {
      const member: unknown = Reflect.get(target, name);
      if (typeof member !== 'function') return member;
      return (...args: unknown[]): unknown => {
        const result: unknown = Reflect.apply(member, target, args);
        void Promise.resolve(result).then((answer) =>
          cluster.onBoundaryCrossing(
            'operator',
            cluster.nodes[node]!.name,
            String(name),
            args,
            answer,
          ),
        );
        return result;
      };
    },
  });
}

/** Retries every second until the controller serves; `ask` returns undefined while it is down. */
export async function askUntilServed(
  cluster: SimulatedCluster,
  ask: () => Promise<OperatorResponse> | undefined,
): Promise<OperatorResponse> {
  for (let i = 0; i < MAX_WAIT_SECONDS; i++) {
    const request = ask();
    const answer = request ? await cluster.drive(request) : null;
    if (answer && answer.status !== 503) return answer;
    await cluster.advance(1);
  }
  return assert.fail('the controller never served the request');
}
