// Commands and snapshots of the replicated fleet state, and the requests that
// instances relay to the leader.
//
// Generate with: thrift --gen cpp:no_skeleton,moveable_types -out gen-cpp fleet.thrift

namespace cpp limpetwood.fleet.gen

struct Resources {
  // Millicores.
  1: i64 cpu
  2: i64 memoryMb
  3: i64 accelerators
}

struct Step {
  1: i32 tasks
  2: Resources need
  3: i64 estimateMs
  // Indexes of earlier steps that must complete first.
  4: list<i32> after
  // Bits of limpetwood::fleet::StepFlag.
  5: i32 flags
  6: string label
  7: string rack
  8: i32 perWorkerLimit
  9: string image
  10: i64 latencyTargetMs
  // See limpetwood::fleet::StepSpec::maxUnavailableTasks.
  11: i32 toleratedAbsences
}

struct JobSpec {
  1: string payload
  2: list<Step> steps
  3: i64 firstRunAtMs
  4: i64 intervalMs
  5: i32 occurrences
}

struct Queue {
  1: string name
  2: string host
  3: string prefix
  4: string serviceId
  5: i32 priority
  6: i32 maxAttempts
  7: double stretch
  8: i64 targetLatencyMs
  9: i64 timeoutMs
  10: bool isPublic
  11: bool needsAdvice
}

struct Workspace {
  1: string name
  2: list<string> keys
  3: i64 guaranteedAccelerators
}

struct Limits {
  1: i64 headerBytes
  2: i64 bodyBytes
  3: i64 headerMs
  4: i64 idleMs
}

struct Configuration {
  1: i64 version
  // The document as the operator submitted it, for reading it back.
  2: string text
  3: list<Queue> queues
  4: list<Workspace> workspaces
  5: Limits limits
}

struct SubmitJob {
  1: string id
  2: string queue
  3: string workspace
  4: string serviceId
  5: JobSpec spec
  6: i64 acceptedAtMs
  7: i32 priority
  8: i32 maxAttempts
  9: double stretch
  10: i64 targetLatencyMs
}

struct WorkerReport {
  1: string id
  2: i64 incarnation
  3: string address
  4: string serviceId
  5: string zone
  6: Resources capacity
  7: list<string> labels
  8: string rack
  9: bool draining
  10: i64 sequence
  11: i64 clockMs
  12: string machine
  // Time for which the worker remains slow after its start; 0 if it is not slow.
  13: i64 warmUpMs
  // Minimum time until the process ends; set while the worker drains, if known.
  14: optional i64 departsInMs
}

struct WorkerGone {
  1: string id
  2: i64 incarnation
}

struct TaskRef {
  1: string job
  2: i32 occurrence
  3: i32 step
  4: i32 index
}

struct RunStart {
  1: TaskRef task
  2: i32 run
  3: string worker
  4: i64 incarnation
}

struct RunEnd {
  1: TaskRef task
  2: i32 run
  3: string worker
  4: i64 incarnation
  // Value of limpetwood::fleet::EndKind.
  5: i32 kind
  6: string checkpoint
  // Value of limpetwood::fleet::CrashEvidence; set for crashed workers.
  7: i32 evidence
  // Value of limpetwood::fleet::StopReason; set if the leader stopped the run.
  8: i32 stopReason
}

struct WorkerSpeed {
  1: string worker
  2: i64 incarnation
  // Relative to the median of the workers; 1000 is the median.
  3: i32 permille
}

struct RefusedJob {
  1: string id
  2: string workspace
}

struct ZoneOrder {
  1: string zone
  // False takes the zone back into service.
  2: bool evacuate
}

struct EvacuatedZone {
  1: string zone
  // Wall clock of the leader that accepted the order.
  2: i64 sinceMs
}

// Log index of the latest order about a zone.
struct ZoneRevision {
  1: string zone
  2: i64 revision
}

struct Command {
  1: optional Configuration configuration
  2: list<SubmitJob> jobs
  3: list<string> cancelled
  4: list<WorkerReport> workers
  5: list<WorkerGone> gone
  6: list<RunEnd> ends
  7: list<RunStart> starts
  8: list<string> forgotten
  // Wall clock of the proposer; determines when ended jobs are removed.
  9: i64 atMs
  // Cancellations of jobs that the proposer did not know. Their submissions may
  // still arrive and must be refused.
  10: list<RefusedJob> refused
  // Applied in this order, before the starts of the command.
  11: list<ZoneOrder> zoneOrders
  12: list<WorkerSpeed> speeds
}

struct TaskSnapshot {
  1: i32 phase
  2: i32 run
  3: i32 failures
  4: string worker
  5: string checkpoint
  // 0 in snapshots of builds that did not count crashes.
  6: i32 crashes
  7: i32 crashesAtStart
  8: i64 incarnation
  9: bool movedForPace
}

struct StepSnapshot {
  1: list<TaskSnapshot> tasks
  2: i32 gangFailures
  3: i32 lastFailedRun
  4: i32 lastRun
}

struct OccurrenceSnapshot {
  1: list<StepSnapshot> steps
}

struct JobSnapshot {
  1: SubmitJob job
  2: i32 status
  3: bool started
  4: i64 endedAtMs
  5: list<OccurrenceSnapshot> occurrences
  6: string reason
}

struct StateSnapshot {
  1: optional Configuration configuration
  2: list<JobSnapshot> jobs
  3: list<WorkerReport> workers
  4: list<RefusedJob> refused
  5: list<EvacuatedZone> evacuatedZones
  6: list<WorkerSpeed> speeds
  // Log index of the latest order about any zone.
  7: i64 zoneRevision
  8: list<ZoneRevision> zoneRevisions
}

struct Request {
  // Value of limpetwood::fleet::RequestKind.
  1: i32 kind
  2: string host
  3: string path
  4: string key
  5: optional JobSpec job
  6: optional WorkerReport worker
  7: optional Configuration configuration
  // Set for orders about a zone.
  8: string zone
  // Set for orders about a zone: the leader refuses the order if the log index
  // of the zone's latest order is higher.
  9: optional i64 zoneRevision
}

struct Reply {
  // Value of limpetwood::fleet::RequestOutcome.
  1: i32 outcome
  2: i64 retryAfterMs
  // The leader, if known.
  3: string leader
  4: string text
  5: i64 count
  // Instances that store the state.
  6: list<string> members
  7: i32 jobStatus
  8: i64 version
  9: optional Limits limits
  // Set for orders about a zone that were refused as possibly outdated.
  10: i64 zoneRevision
}
