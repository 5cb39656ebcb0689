import { Controller, type Links } from '../../src/control/controller.js';
import { Decoder, encode, type Message } from '../../src/peer/frames.js';
import type { Runtime } from '@leverhatch/core/duty';
import type { Settings } from '../../src/settings/deploy.js';
import { OPERATOR_DEFAULTS } from '../../src/settings/operator.js';
import { parseReport, redirectAnswer, reportAnswer } from '../../src/wire/report.js';
import type { Answered } from './worker.js';

/** How a version writes and reads frames between controllers. */
export interface FrameCodec {
  encode(message: Message): Buffer;
  Decoder: new () => { push(chunk: Buffer): Message[] };
}

/** One version of the controller, as a story runs it: this tree's, or an earlier one. */
export interface Program {
  readonly version: string;
  readonly frames: FrameCodec;
  create(settings: Settings, runtime: Runtime, links: Links): Controller;
  /** Answers a worker's report, from the bytes that arrive to those that leave. */
  answerReport(controller: Controller, body: unknown): Promise<Answered>;
}

/** The controller of this tree. */
export const CURRENT: Program = {
  version: 'current',
  frames: { encode, Decoder },
  create: (settings, runtime, links) => new Controller(settings, OPERATOR_DEFAULTS, runtime, links),
  answerReport: async (controller, body) => {
    const report = parseReport(body);
    if (!report) return { status: 400, body: {} };
    const outcome = await controller.report(report);
    return outcome.kind === 'orders'
      ? { status: 200, body: reportAnswer(outcome.token, outcome.orders) }
      : { status: 421, body: redirectAnswer(outcome.leader) };
  },
};
