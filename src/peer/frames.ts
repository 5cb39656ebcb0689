/** The public interface of the frame protocol between controllers. */
export {
  CANCELLATIONS_VERSION,
  FRAME_VERSIONS,
  MAX_CANCELLATIONS,
  REINSTATEMENT_VERSION,
} from './frame-format.js';
export { encode, leaderHeartbeats } from './frame-encoder.js';
export { Decoder, FrameError } from './frame-decoder.js';
export type { JobProgress, PeerMessage } from './messages.js';
