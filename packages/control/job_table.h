// The replicated records of all jobs and the rules for their state transitions.
// Deterministic; changed only by committed commands.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/crash_history.h"
#include "model/job.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetwood::control {

// Kinds of events that a zone authority reports about a job. The values are
// part of the wire format.
enum class JobEventKind
{
  // All members hold leases; the gang is about to start.
  kStarting = 1,
  kRunning = 2,
  // All members have stopped; the job waits in its zone to start again.
  kRequeued = 3,
  kSucceeded = 4,
  kFailed = 5,
  kCancelled = 6,
  // The job can never run under the configuration in force.
  kImpossible = 7,
  // Only reports a new checkpoint.
  kCheckpointed = 8,
  // The zone returns the job to the control leader for another assignment.
  kReturned = 9,
  // Only reports the crash of a worker under a task of the job.
  kWorkerCrashed = 10,
  // The attempt has run long enough to clear the crashes of earlier ones.
  kSound = 11,
};

struct JobEvent
{
  JobId job;
  Attempt attempt;
  JobEventKind kind = JobEventKind::kStarting;
  std::string reason;
  // Handle of a new checkpoint; empty if there is none.
  std::string checkpoint;
  // Wall-clock time since the Unix epoch.
  Millis at;
  // Set only for `kWorkerCrashed`.
  std::optional<model::WorkerCrash> crash{};
};

struct JobRecord
{
  JobId id;
  IdempotencyKey key;
  model::JobSpec spec;
  model::JobState state = model::JobState::kQueued;
  // Empty while the job is not assigned to a zone.
  ZoneId zone;
  // Log index of the last order about this job to its zone: the assignment or
  // the cancellation.
  uint64_t orderIndex = 0;
  // Number of the last started attempt; 0 before the first one.
  Attempt attempt;
  // Why the job was last requeued, unassigned or ended; empty if there is no
  // reason.
  std::string reason;
  // Handle of the last reported checkpoint; empty if there is none.
  std::string checkpoint;
  model::CrashHistory crashes;
  bool cancelRequested = false;
  // Wall-clock times since the Unix epoch; 0 while the job has not started or
  // ended.
  Millis submittedAt;
  Millis startedAt;
  Millis endedAt;
};

class JobTable
{
public:
  // Finished jobs retained for queries and for detecting resent submissions:
  // five days at 3,800 jobs a day.
  static constexpr size_t kMaxFinishedJobs = 20'000;

  // Adds a queued job. Precondition: the table contains neither its id nor its
  // idempotency key.
  void Add(JobRecord aRecord);

  // Assigns a job to a zone. Returns false if the job is unknown, final or
  // already assigned.
  bool Assign(const JobId& aJob, const ZoneId& aZone, uint64_t aIndex);

  // Applies an event reported by a zone. Returns false, without a change of the
  // job's state, if the job is unknown, final or not assigned to that zone, and
  // for events of earlier attempts, for repeated `kStarting` and `kRunning`
  // events and for `kRunning` of an attempt without `kStarting`. In the last
  // two cases, the event's checkpoint is stored nevertheless. `aIndex` is not
  // used, because events cause no orders.
  bool ApplyEvent(const ZoneId& aZone, const JobEvent& aEvent, uint64_t aIndex);

  // Cancels an unassigned job at once; otherwise issues a cancellation order to
  // the job's zone. Returns false for unknown and final jobs.
  bool Cancel(const JobId& aJob, uint64_t aIndex);

  // Unassigns all jobs of a zone that are not final, so that they run again
  // from their last checkpoint; those with a requested cancellation become
  // cancelled. Precondition: the zone's workers have stopped, or the jobs could
  // run twice. Returns the number of jobs.
  size_t UnassignJobsOf(const ZoneId& aZone);

  const JobRecord* Find(const JobId& aJob) const;
  const JobRecord* FindByKey(const WorkspaceId& aWorkspace,
                             const IdempotencyKey& aKey) const;

  // Jobs without a zone, in order of submission time.
  const std::set<std::pair<Millis, JobId>>& Unassigned() const
  {
    return mUnassigned;
  }

  // Returns the orders to a zone with a log index above `aAfter`, oldest first.
  // Returns at most `aLimit` orders, plus any further ones with the log index
  // of the last one.
  std::vector<const JobRecord*> OrdersFor(const ZoneId& aZone,
                                          uint64_t aAfter,
                                          size_t aLimit) const;

  // Number of jobs of a workspace that are not final.
  uint32_t ActiveJobs(const WorkspaceId& aWorkspace) const;

  // Total accelerators of the jobs assigned to a zone that are not final.
  uint64_t AssignedAccelerators(const ZoneId& aZone) const;

  const std::map<JobId, JobRecord>& All() const { return mJobs; }
  size_t size() const { return mJobs.size(); }

  // Adds a record from a snapshot; its job may be in any state.
  void RestoreRecord(JobRecord aRecord);

private:
  void SetOrder(JobRecord& aRecord, uint64_t aIndex);
  void RemoveOrder(const JobRecord& aRecord);
  void Finish(JobRecord& aRecord,
              model::JobState aState,
              const std::string& aReason,
              Millis aAt);
  // Makes an assigned job unassigned and queued again.
  void Unassign(JobRecord& aRecord);
  void AddToActiveIndexes(const JobRecord& aRecord);

  // A record is removed only when the number of finished jobs exceeds
  // `kMaxFinishedJobs`. Every job that is not final is either in `mUnassigned`
  // or in `mOrdersByZone` of exactly one zone.
  std::map<JobId, JobRecord> mJobs;
  std::map<std::pair<WorkspaceId, IdempotencyKey>, JobId> mJobsByKey;
  std::set<std::pair<Millis, JobId>> mUnassigned;
  std::map<ZoneId, std::map<std::pair<uint64_t, JobId>, const JobRecord*>>
    mOrdersByZone;
  std::map<ZoneId, uint64_t> mAssignedAccelerators;
  std::map<WorkspaceId, uint32_t> mActiveJobsByWorkspace;
  std::set<std::pair<Millis, JobId>> mFinishedByEndTime;
};

} // namespace limpetwood::control
