/** The HTTP routes of quota transfers. */
import { send, type OperatorRoutes } from '@leverhatch/operators/listener';
import { Router } from 'express';
import type { QuotaTransferApi } from './api.js';

/** Creates the routes below `/shares`. */
export function quotaTransferRoutes(api: QuotaTransferApi): OperatorRoutes {
  const router = Router();
  router.get('/', async (_request, response) => send(response, await api.show()));
  router.get('/history', async (_request, response) => send(response, await api.history()));
  router.post('/plan', async (request, response) => {
    send(response, await api.plan(request.body));
  });
  router.post('/moves', async (request, response) => {
    send(response, await api.submit(request.body));
  });
  router.post('/moves/:id/cancel', async (request, response) => {
    send(response, await api.cancel(request.params.id));
  });
  return { path: '/shares', router };
}
