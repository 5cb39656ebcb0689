import { Controller, type ControllerDependencies } from '../../src/control/controller.js';
import { Decoder, encode, type PeerMessage } from '../../src/peer/frames.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { Settings } from '../../src/settings/deploy.js';
import { OPERATOR_DEFAULTS } from '../../src/settings/operator.js';
import {
  parseHeartbeat,
  redirectResponse,
  heartbeatResponse,
} from '../../src/wire/worker-heartbeat.js';
import type { ReportResponse } from './worker.js';

/** How a version encodes and decodes the frames between controllers. */
export interface FrameCodec {
  encode(message: PeerMessage): Buffer;
  Decoder: new () => { push(chunk: Buffer): PeerMessage[] };
}

/** A controller version that scenarios can run: that of this tree, or an earlier one. */
export interface Program {
  readonly version: string;
  readonly frames: FrameCodec;
  create(settings: Settings, runtime: Runtime, dependencies: ControllerDependencies): Controller;
  /** Parses a worker's heartbeat, passes it to the controller and encodes the response. */
  answerReport(controller: Controller, body: unknown): Promise<ReportResponse>;
}

/** The controller version of this tree. */
export const CURRENT: Program = {
  version: 'current',
  frames: { encode, Decoder },
  create: (settings, runtime, dependencies) =>
    new Controller(settings, OPERATOR_DEFAULTS, runtime, dependencies),
  answerReport: async (controller, body) => {
    const report = parseHeartbeat(body);
    if (!report) return { status: 400, body: {} };
    const outcome = await controller.receiveHeartbeat(report);
    return outcome.kind === 'commands'
      ? { status: 200, body: heartbeatResponse(outcome.fencingToken, outcome.commands) }
      : { status: 421, body: redirectResponse(outcome.leader) };
  },
};
