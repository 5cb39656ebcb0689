/** The HTTP routes of the operators' API for rollouts. */
import { send, type OperatorRoutes } from '@leverhatch/operators/listener';
import { Router } from 'express';
import type { RolloutCommand, RolloutApi } from './api.js';

const COMMANDS: readonly RolloutCommand[] = ['pause', 'resume', 'rollback'];

/** Creates the routes under `/rollouts`. */
export function rolloutRoutes(api: RolloutApi): OperatorRoutes {
  const router = Router();
  router.get('/', async (_request, response) => send(response, await api.status()));
  router.get('/history', async (_request, response) => send(response, await api.history()));
  router.post('/', async (request, response) => send(response, await api.start(request.body)));
  router.post('/plan', async (request, response) => send(response, await api.plan(request.body)));
  for (const command of COMMANDS) {
    router.post(`/:id/${command}`, async (request, response) => {
      send(response, await api.order(request.params.id, command));
    });
  }
  return { path: '/rollouts', router };
}
