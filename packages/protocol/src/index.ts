export { create, fromBinary, toBinary } from '@bufbuild/protobuf';
export { default as PeerClient } from './PeerClient.js';
export { startPeerServer } from './PeerServer.js';
export {
  AcknowledgementSchema,
  AnswerFrameSchema,
  CrashReportSchema,
  EntrySchema,
  InspectReplySchema,
  InspectRequestSchema,
  MemberMessageSchema,
  MemberUpdateSchema,
  RequestFrameSchema,
  RequestHeadSchema,
  ShardHandoverSchema,
  SynchroniseReplySchema,
  SynchroniseRequestSchema,
} from './generated/cactusrun/v1/peer_pb.js';
export type {
  AnswerFrame,
  AnswerHead,
  CrashReport,
  InspectReply,
  InspectRequest,
  MemberMessage,
  MemberUpdate,
  Refusal,
  RequestFrame,
  RequestHead,
  ShardHandover,
  ShardLoad,
  SynchroniseReply,
  SynchroniseRequest,
} from './generated/cactusrun/v1/peer_pb.js';
export type { ConnectionClass, RequestStream } from './PeerClient.js';
export type { AnswerStream, PeerHandlers } from './PeerServer.js';
