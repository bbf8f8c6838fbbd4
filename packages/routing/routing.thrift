// Messages between the routers of two instances (channel 4).
// Generate with: thrift --gen cpp:no_skeleton,moveable_types -out gen-cpp routing.thrift

namespace cpp limpetwood.routing.wire

struct ServiceDigest {
  1: string serviceId
  2: i32 servers
  3: i32 freeSlots
  // Of the servers, those in evacuated zones; set only if there are any.
  4: optional i32 evacuatedServers
}

struct WorkspaceUse {
  // The hash, interpreted as 32 unsigned bits.
  1: i32 workspaceHash
  2: i32 requests
}

struct EvacuatedZones {
  1: i64 index
  2: list<string> zones
}

struct Digest {
  1: i64 version
  2: bool delta
  3: list<ServiceDigest> services
  4: list<WorkspaceUse> workspaces
  // Set in full digests once a zone has been evacuated.
  5: optional EvacuatedZones evacuated
}

struct HomeClaim {
  1: string server
  2: i64 incarnation
}

struct BorrowRequest {
  1: i64 first
  2: i32 count
  3: string serviceId
  4: list<string> exclude
}

struct Server {
  1: string id
  2: string serviceId
  3: string zone
  4: string address
  5: i64 incarnation
}

struct LeaseGrant {
  1: i64 lease
  2: Server server
  3: i64 startWithinMs
  4: i32 connections
}

struct BorrowReply {
  1: i64 first
  2: list<LeaseGrant> leases
}

struct ReturnedLease {
  1: i64 lease
  2: bool used
  3: i8 result
  4: bool serverError
  5: i64 latencyMs
}

struct ReturnLeases {
  1: list<ReturnedLease> leases
}

struct LeaseList {
  1: list<i64> leases
}

struct KeyHolder {
  1: string instance
  2: i64 nonce
}

struct KeyRecord {
  1: string key
  2: KeyHolder holder
  // Ids of sets of declared instances, interpreted as 64 unsigned bits each.
  3: list<i64> sets
}

struct KeyReply {
  1: string key
  2: KeyHolder holder
  3: i8 status
  4: i8 verdict
}

struct KeyOutcome {
  1: string key
  2: KeyHolder holder
  3: i8 verdict
}

union PeerMessage {
  1: Digest digest
  2: HomeClaim homeClaim
  3: BorrowRequest borrowRequest
  4: BorrowReply borrowReply
  5: ReturnLeases returnLeases
  6: LeaseList renewLeases
  7: LeaseList revokeLeases
  8: KeyRecord keyRecord
  9: KeyReply keyReply
  10: KeyOutcome keyOutcome
}
