/**
 * Generated protocol definitions: the subset of the etcd v3 API that is used with the platform's key-value service,
 * and the protocol between gateways.
 *
 * @module
 */
export * as etcd from './generated/etcdserverpb/rpc_pb.js'
export * as gossip from './generated/plumstage/gossip/v1/gossip_pb.js'
export * as mvcc from './generated/mvccpb/kv_pb.js'
export * as streams from './generated/plumstage/streams/v1/streams_pb.js'
export * as peer from './generated/plumstage/peer/v1/peer_pb.js'
