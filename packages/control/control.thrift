// Commands of the replicated control state and the messages between instances
// on the control channel. Points in time are in milliseconds since the Unix
// epoch, except for sentAtMs.
//
// Generate with: thrift --gen cpp:no_skeleton -out gen-cpp control.thrift

namespace cpp limpetwood.control.gen

struct SubmitConfiguration {
  1: string document
  2: i64 baseVersion
  // Idempotency key; empty if there is none.
  3: string key
  4: i64 acceptedAtMs
}

struct SubmitJob {
  1: string job
  2: string key
  3: string spec
  4: i64 submittedAtMs
}

struct CancelJobs {
  1: list<string> jobs
}

struct AssignJob {
  1: string job
  2: string zone
}

struct WorkerCrash {
  1: i32 attempt
  2: i32 member
  3: string worker
  4: bool afterStart
  5: bool alone
}

struct CrashHistory {
  1: list<WorkerCrash> crashes
  // Crashes of attempts before this one do not count.
  2: i32 soundAttempt
}

struct JobEvent {
  1: string job
  2: i32 attempt
  // Value of limpetwood::control::JobEventKind.
  3: i32 kind
  4: string reason
  5: string checkpoint
  6: i64 atMs
  // Set only for kWorkerCrashed.
  7: optional WorkerCrash crash
  // True if the authority acted on the event before it was committed, because
  // the zone was cut off. Set only if true.
  8: optional bool executed
}

struct JobEvents {
  1: string zone
  2: i64 epoch
  3: list<JobEvent> events
}

struct FenceZone {
  1: string zone
}

// An operator's order to evacuate a zone or to restore it.
struct ZoneOrder {
  1: string zone
  // Who gave the order.
  2: string by
  // Idempotency key; empty if there is none.
  3: string key
  4: i64 orderedAtMs
  // The order is refused if the zone has had another one after this log index.
  5: optional i64 knownIndex
}

union Command {
  1: SubmitConfiguration submitConfiguration
  2: SubmitJob submitJob
  3: CancelJobs cancelJobs
  4: list<AssignJob> assignJobs
  5: JobEvents jobEvents
  6: FenceZone fenceZone
  7: ZoneOrder evacuateZone
  8: ZoneOrder restoreZone
}

struct CommandResult {
  1: bool accepted
  2: string reason
  3: i64 version
  4: string hash
  5: string job
  // SubmitConfiguration rejected with version_conflict: document paths that
  // changed since the base version. JobEvents: jobs whose events were not
  // applied; the reason is zone_evacuated if some of them were starts in an
  // evacuated zone.
  6: list<string> changes
  // True if the result is that of an earlier command with the same key.
  7: bool repeated
  // Zone orders: log index of the latest order about any zone.
  8: i64 zoneOrderIndex
}

struct JobOrder {
  1: string job
  2: string spec
  // Number of the last started attempt; 0 if there is none.
  3: i32 attempts
  4: string checkpoint
  5: i64 submittedAtMs
  6: bool cancelled
  7: optional CrashHistory crashes
}

struct Heartbeat {
  1: string instance
  2: string zone
  3: i64 incarnation
  4: i64 version
  5: bool ready
  6: bool draining
  7: optional i64 authorityEpoch
  8: i32 freeAccelerators
  9: i32 queuedAccelerators
  // Orders up to this log index are known to the authority.
  10: i64 ordersIndex
  // Monotonic time of the sender.
  11: i64 sentAtMs
  // Accelerators of the zone's live workers; set by an authority.
  12: i32 liveAccelerators
}

// The zones that are evacuated as of a log index.
struct EvacuatedZones {
  // Log index of the last change.
  1: i64 index
  2: list<string> zones
  // Log index of the last order about a zone, which may have changed nothing.
  3: i64 zoneOrderIndex
}

struct HeartbeatReply {
  // Copied from the heartbeat; 0 if the message does not answer one.
  1: i64 sentAtMs
  2: i64 term
  3: i64 version
  4: list<JobOrder> orders
  // Log index of the last order in this message, or afterIndex if it has none.
  5: i64 ordersIndex
  // More orders may follow; the authority requests them with a heartbeat.
  6: bool moreOrders
  // The orders follow this index; set only with orders for an authority.
  7: optional i64 afterIndex
  // Not set if there has been no order about a zone.
  8: optional EvacuatedZones evacuated
  // True if the leader may not have applied all commands of its predecessors
  // yet, so that evacuated may be out of date. Set only if true.
  9: optional bool stateIncomplete
}

struct ConfigurationUpdate {
  1: i64 version
  2: string hash
  // Set if the update is a delta to be applied to this version.
  3: optional i64 baseVersion
  4: string body
  // True if the leader confirmed its leadership after the request and before it
  // read the version.
  5: bool linearizable
}

struct ConfigurationRequest {
  // 0 asks for the full document.
  1: i64 knownVersion
  // Asks for an answer with the linearizable flag.
  2: bool linearizable
}

struct Propose {
  1: i64 id
  2: binary command
}

struct ProposeReply {
  1: i64 id
  // Value of limpetwood::Verdict.
  2: i32 verdict
  3: string reason
  4: optional CommandResult result
}

struct Query {
  1: i64 id
  2: string target
}

struct QueryReply {
  1: i64 id
  2: i32 status
  3: string body
}

struct LeaseRequest {
  1: string zone
  2: string candidate
  3: i64 epoch
  4: i64 round
  // Milliseconds since the zone's authority last heard from the control leader.
  5: i64 contactAgeMs
}

struct LeaseReply {
  1: string zone
  2: string voter
  3: i64 epoch
  4: i64 round
  5: bool granted
  6: i64 highestEpoch
  // True if contactAgeMs is valid.
  7: bool knowsContact
  // Milliseconds since the authority that this voter last granted a lease heard
  // from the control leader.
  8: i64 contactAgeMs
}

struct NotLeader {
  1: string leader
  2: optional i64 requestId
}

// An API call passed on to another instance.
struct InstanceCall {
  1: i64 id
  2: string method
  3: string target
  4: string body
}

struct InstanceCallReply {
  1: i64 id
  2: i32 status
  3: string body
}

union ControlMessage {
  1: Heartbeat heartbeat
  2: HeartbeatReply heartbeatReply
  3: ConfigurationUpdate configurationUpdate
  4: ConfigurationRequest configurationRequest
  5: Propose propose
  6: ProposeReply proposeReply
  7: Query query
  8: QueryReply queryReply
  9: LeaseRequest leaseRequest
  10: LeaseReply leaseReply
  11: NotLeader notLeader
  12: InstanceCall instanceCall
  13: InstanceCallReply instanceCallReply
}

struct JobSnapshot {
  1: string job
  2: string key
  3: string spec
  4: i32 state
  5: string zone
  // Unused: orderIndex is the log index of the job's last order.
  6: i64 assignedIndex
  7: i32 attempt
  8: string reason
  9: string checkpoint
  10: i64 submittedAtMs
  11: i64 startedAtMs
  12: i64 endedAtMs
  13: bool cancelRequested
  14: i64 orderIndex
  15: optional CrashHistory crashes
}

struct VersionSnapshot {
  1: i64 version
  2: string hash
  3: i64 acceptedAtMs
  4: list<string> changes
  5: string delta
}

struct KeySnapshot {
  1: string key
  2: CommandResult result
}

struct ZoneEvacuation {
  1: string zone
  2: string by
  3: i64 sinceMs
}

// A complete snapshot of the control state.
struct StateSnapshot {
  1: string document
  2: i64 version
  3: list<VersionSnapshot> history
  4: list<JobSnapshot> jobs
  5: list<KeySnapshot> keys
  6: map<string, i64> zoneEpochs
  7: list<ZoneEvacuation> evacuatedZones
  // Log index of the last change of evacuatedZones; 0 before the first one.
  8: i64 evacuationIndex
  // Log index of the last order about each zone.
  9: map<string, i64> zoneOrderIndexes
}
