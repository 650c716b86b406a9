/** Adapts the generated service description to the form that the gRPC library takes. */
import type { DescMessage, DescMethod, MessageShape } from '@bufbuild/protobuf';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MethodDefinition, ServiceDefinition } from '@grpc/grpc-js';
import { Peer } from './generated/cactusrun/v1/peer_pb.js';

function createSerializer<Schema extends DescMessage>(schema: Schema) {
  return (message: MessageShape<Schema>): Buffer => {
    const bytes = toBinary(schema, message);
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  };
}

function createDeserializer<Schema extends DescMessage>(schema: Schema) {
  return (bytes: Buffer): MessageShape<Schema> => fromBinary(schema, bytes);
}

function describeMethod(method: DescMethod): MethodDefinition<unknown, unknown> {
  const isStreaming = method.methodKind === 'bidi_streaming';
  return {
    path: `/${method.parent.typeName}/${method.name}`,
    requestStream: isStreaming,
    responseStream: isStreaming,
    requestSerialize: createSerializer(method.input) as (message: unknown) => Buffer,
    requestDeserialize: createDeserializer(method.input),
    responseSerialize: createSerializer(method.output) as (message: unknown) => Buffer,
    responseDeserialize: createDeserializer(method.output),
    originalName: method.localName,
  };
}

/** Definition of the peer service for the gRPC library, keyed by the method's name in the code. */
const PEER_SERVICE = Object.fromEntries(
  Peer.methods.map((method) => [method.localName, describeMethod(method)]),
) as unknown as ServiceDefinition;

export default PEER_SERVICE;
