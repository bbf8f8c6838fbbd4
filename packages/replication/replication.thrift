// Wire and disk formats of the replicated log, in the compact protocol.

namespace cpp limpetwood.replication.wire

struct Member {
  1: string instance
  2: i64 disk
}

struct Membership {
  1: list<Member> voters
  2: list<Member> learners
}

struct Entry {
  1: i64 term
  2: i64 index
  3: i32 kind
  4: optional binary data
  5: optional Membership membership
}

struct Message {
  1: i32 kind
  2: i64 toDisk
  3: i64 fromDisk
  4: i64 group
  5: i64 term
  6: optional bool preVote
  7: optional bool success
  8: optional bool transfer
  9: optional i64 index
  10: optional i64 logTerm
  11: optional i64 commit
  12: optional i64 round
  13: optional i64 hintIndex
  14: optional i64 hintTerm
  15: optional i64 repair
  16: optional i64 repairIndex
  17: optional list<Entry> entries
  18: optional i64 offset
  19: optional i64 total
  20: optional i64 checksum
  21: optional binary data
  22: optional Membership membership
  23: optional i32 status
  24: optional string leader
}

// Content of the state file.
struct State {
  1: i64 sequence
  2: i64 disk
  3: i64 group
  4: Membership initial
  5: i64 term
  6: Member vote
  7: bool repairing
}

// Header of a snapshot file, in front of the data.
struct SnapshotHead {
  1: i64 index
  2: i64 term
  3: Membership membership
  4: i64 size
  5: i64 checksum
}
