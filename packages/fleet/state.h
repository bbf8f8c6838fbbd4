// The replicated state of the scheduler: configuration, workers, jobs and their
// runs.
//
//   FleetState state;
//   state.Apply(command);
//   const Job* job = state.FindJob(id);
//
// Every replica applies the same commands in the same order and reaches the
// same state, so nothing here depends on clocks or random numbers. A command
// that is not applicable to the state (a start on a worker that was removed, an
// end of an attempt that was replaced) changes nothing.

#pragma once

#include "fleet/codec.h"
#include "fleet/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetwood::fleet {

// The values are stored; they must not change.
enum class JobStatus
{
  kQueued,
  kRunning,
  // This status and all later ones are final; `Job::Ended` relies on the order.
  kCompleted,
  kFailed,
  kCancelled,
};

struct Task
{
  // The values are stored; they must not change.
  enum class Phase : uint8_t
  {
    kWaiting,
    // Started; the end is not known yet.
    kActive,
    kDone,
  };

  Phase phase = Phase::kWaiting;
  // The latest attempt; 0 before the first. Never decreases.
  Attempt attempt{};
  // Number of attempts that failed.
  uint32_t failures = 0;
  // Number of workers that crashed while they ran the task, and of those the
  // ones that crashed when it had just started. Both are cleared by a run that
  // was active long enough to show that the task does not crash workers.
  uint32_t crashes = 0;
  uint32_t crashesAtStart = 0;
  // Worker of the active run and its process that the run was started on;
  // empty otherwise. The process is also empty for runs that are older than
  // this field.
  WorkerId worker{};
  Incarnation incarnation{};
  // The latest checkpoint of an ended run; empty if there is none.
  std::string checkpoint{};
  // A run was stopped because it was slow.
  bool movedForPace = false;
};

// A task is suspected of crashing its workers and is tried apart from other
// work.
bool
IsSuspect(const Task& aTask);

struct Step
{
  std::vector<Task> tasks{};
  // Number of tasks that are done.
  uint32_t done = 0;
  uint32_t active = 0;
  // For gangs: the number of attempts that failed, and the latest of them.
  uint32_t gangFailures = 0;
  Attempt lastFailedAttempt{};
  // The highest attempt of any task.
  Attempt lastAttempt{};
  // For gangs: one member has ended as done, which completes the whole gang.
  bool gangDone = false;
};

struct Occurrence
{
  std::vector<Step> steps{};
};

struct Job
{
  JobId id{};
  QueueId queue{};
  WorkspaceId workspace{};
  ServiceId service{};
  JobSpec spec{};
  // Wall-clock time on the leader that accepted the job.
  Millis acceptedAt{};
  // Copied from the queue when the job was accepted.
  int32_t priority = 0;
  uint32_t maxAttempts = 1;
  double stretch = 1;
  Millis targetLatency{};

  // `kQueued` again if all starts so far were rejected.
  JobStatus status = JobStatus::kQueued;
  // A task has run: a run ended in another way than by its start's rejection.
  bool begun = false;
  // Why the job failed; empty otherwise.
  std::string reason{};
  // Wall-clock time on the leader that proposed the end.
  Millis endedAt{};
  // Created when a task of the occurrence first starts; at most as many as the
  // specification requests.
  std::vector<Occurrence> occurrences{};
  uint32_t occurrencesDone = 0;
  // Number of runs whose end is not known yet; can be above 0 after the job has
  // ended.
  uint32_t activeRuns = 0;

  bool Ended() const { return status >= JobStatus::kCompleted; }

  // Whether a step of one occurrence is complete: all its tasks are done, or
  // one member of its gang is.
  bool StepDone(uint32_t aOccurrence, uint32_t aStep) const;
};

struct Worker
{
  WorkerReport report{};
  // Sum of the counted resources of all active runs; at most the capacity.
  Resources used{};
  // Runs whose end is not known yet.
  std::set<RunRef> active{};
  // Speed relative to the median of the workers; empty if it is not known.
  std::optional<double> speed{};
};

// An effect of a command, for logs and counters.
struct Change
{
  enum class Kind
  {
    kConfiguration,
    kJobAccepted,
    kJobEnded,
    kRunEnded,
    kWorkerJoined,
    kWorkerDraining,
    kWorkerGone,
    kZoneEvacuated,
    kZoneRestored,
  };

  Kind kind = Kind::kConfiguration;
  // Set for `kRunEnded`; for changes of a job only the job id is set.
  RunRef run{};
  // Set for `kRunEnded` and for changes of a worker.
  WorkerId worker{};
  // Set for `kRunEnded`.
  EndKind end = EndKind::kDone;
  CrashEvidence evidence = CrashEvidence::kNone;
  StopReason stopReason = StopReason::kNone;
  // Set for changes of a zone.
  ZoneId zone{};
};

class FleetState
{
public:
  // `aIndex` is the log index of the command.
  void Apply(const gen::Command& aCommand, uint64_t aIndex = 0);

  std::string TakeSnapshot() const;
  // Returns false and leaves the state unchanged if the bytes are not a valid
  // snapshot.
  bool Restore(std::string_view aSnapshot);

  const std::optional<Configuration>& Config() const { return mConfiguration; }
  ConfigVersion Version() const;

  // Returns the queue with the longest prefix that matches, or null.
  const Queue* FindQueue(std::string_view aHost, std::string_view aPath) const;
  const Workspace* FindWorkspaceByKey(std::string_view aKey) const;
  const Workspace* FindWorkspace(const WorkspaceId& aName) const;

  // Returns the job that the submission would create.
  static Job JobFromSubmission(const gen::SubmitJob& aJob);

  const Job* FindJob(const JobId& aId) const;
  const Worker* FindWorker(const WorkerId& aId) const;
  const std::map<JobId, Job>& Jobs() const { return mJobs; }
  // Jobs that have not ended, or that still have active runs.
  const std::set<JobId>& LiveJobs() const { return mLiveJobs; }
  const std::map<WorkerId, Worker>& Workers() const { return mWorkers; }

  // Whether a cancellation was acknowledged before the workspace submitted the
  // job to the queue, so that the job must never run. Refusals with an empty
  // workspace apply to all callers of public queues.
  bool IsRefused(const JobId& aJob,
                 const WorkspaceId& aWorkspace,
                 const QueueId& aQueue) const;
  bool IsRefused(const JobId& aJob) const;
  // Refused jobs, ordered by job.
  const std::set<std::pair<JobId, WorkspaceId>>& RefusedJobs() const
  {
    return mRefusedJobs;
  }

  // Zones in which no run may start, with the time of the order (wall clock).
  const std::map<ZoneId, Millis>& EvacuatedZones() const
  {
    return mEvacuatedZones;
  }
  bool IsEvacuated(const ZoneId& aZone) const
  {
    return mEvacuatedZones.contains(aZone);
  }

  // Log index of the latest order about any zone; 0 if there was none.
  uint64_t ZoneRevision() const { return mZoneRevision; }
  // Log index of the latest order about the zone; 0 if there was none.
  uint64_t ZoneRevisionOf(const ZoneId& aZone) const;

  const Task* FindTask(const TaskRef& aTask) const;
  // Whether `aRun` is the active run of its task, on `aWorker`.
  bool IsActive(const RunRef& aRun, const WorkerId& aWorker) const;

  // Returns and clears the changes since the last call, oldest first. All are
  // discarded when more than 4096 accumulate.
  std::vector<Change> TakeChanges();

private:
  void ApplyConfiguration(const gen::Configuration& aConfiguration);
  void ApplyJob(const gen::SubmitJob& aJob);
  void ApplyCancel(const JobId& aId, Millis aAt);
  void ApplyRefusal(const gen::RefusedJob& aJob, Millis aAt);
  void ApplyZoneOrder(const gen::ZoneOrder& aOrder,
                      uint64_t aIndex,
                      Millis aAt);
  void ApplyWorker(const gen::WorkerReport& aReport);
  void ApplyRemoval(const gen::WorkerGone& aGone, Millis aAt);
  void ApplyStart(const gen::RunStart& aStart);
  void ApplyEnd(const RunRef& aRun,
                const WorkerId& aWorker,
                EndKind aKind,
                const std::string& aCheckpoint,
                Millis aAt,
                CrashEvidence aEvidence = CrashEvidence::kNone,
                StopReason aReason = StopReason::kNone);
  void ApplyForget(const JobId& aId);
  void ApplySpeed(const gen::WorkerSpeed& aSpeed);

  // Ends all runs on a worker as lost.
  void EndRunsOf(const WorkerId& aId, Millis aAt);
  void RecordEnd(Job& aJob,
                 Step& aStep,
                 Task& aTask,
                 const StepSpec& aSpec,
                 const RunRef& aRun,
                 EndKind aKind,
                 Millis aAt);
  // Counts a crash against the task, whether its job is a gang, lasts, or
  // neither. Each member of a gang answers for its own worker, so the crashes
  // of one gang attempt are not added up.
  void RecordCrash(Job& aJob, Task& aTask, CrashEvidence aEvidence, Millis aAt);
  void CheckCompletion(Job& aJob, uint32_t aOccurrence, Millis aAt);
  void EndJob(Job& aJob, JobStatus aStatus, std::string aReason, Millis aAt);
  // Finds a task, its job and step, and creates the occurrence if needed.
  // Returns null if the job does not exist or has no such task.
  Task* MutableTask(const TaskRef& aTask, Job*& aJob, Step*& aStep);
  static Occurrence& OccurrenceOf(Job& aJob, uint32_t aOccurrence);
  void UpdateLive(const Job& aJob);
  void RecordChange(Change aChange) { mChanges.push_back(std::move(aChange)); }
  void RebuildKeyIndex();
  bool IsPublicQueue(const QueueId& aQueue) const;

  friend gen::StateSnapshot WriteState(const FleetState& aState);
  friend void ReadState(const gen::StateSnapshot& aSnapshot,
                        FleetState& aState);

  std::optional<Configuration> mConfiguration;
  // Maps an API key to the index of its workspace in the configuration.
  std::map<std::string, size_t, std::less<>> mWorkspaceByKey;
  std::map<JobId, Job> mJobs;
  std::set<JobId> mLiveJobs;
  // Jobs that were cancelled before they were submitted. None of them is in
  // `mJobs` with the same workspace.
  std::set<std::pair<JobId, WorkspaceId>> mRefusedJobs;
  // Not part of the configuration, which every operator's document replaces as
  // a whole.
  std::map<ZoneId, Millis> mEvacuatedZones;
  // The maximum of `mZoneRevisions`.
  uint64_t mZoneRevision = 0;
  std::map<ZoneId, uint64_t> mZoneRevisions;
  std::map<WorkerId, Worker> mWorkers;
  std::vector<Change> mChanges;
};

} // namespace limpetwood::fleet
