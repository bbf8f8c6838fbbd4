// Implementation of `Scheduler`. The core_*.cc files implement its parts by
// subject.

#pragma once

#include "base/random.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "scheduler/gang.h"
#include "scheduler/guarantees.h"
#include "scheduler/lease_table.h"
#include "scheduler/options.h"
#include "scheduler/placement.h"
#include "scheduler/preemption.h"
#include "scheduler/queue.h"
#include "scheduler/run_time_history.h"
#include "scheduler/views.h"
#include "scheduler/worker_fault_detector.h"
#include "scheduler/worker_table.h"

#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetwood::scheduler {

class Core
{
public:
  Core(SchedulerOptions aOptions, Epoch aEpoch);

  std::vector<Effect> Step(const Event& aEvent, Millis aNow);
  Millis NextDeadline() const;
  std::vector<JobView> Jobs() const;
  std::optional<JobView> FindJob(const JobId& aJob) const;
  std::vector<WorkerView> Workers() const;
  std::optional<WorkerView> FindWorker(const WorkerId& aWorker) const;
  const Counters& Counts() const { return mCounters; }
  std::vector<std::string> CheckInvariants() const;

private:
  struct WorkspaceState
  {
    WorkspaceId id;
    bool configured = false;
    double share = 1.0;
    uint32_t quota = 0;
    // Accelerators in use or claimed.
    int64_t used = 0;
  };

  enum class TimerKind : uint8_t
  {
    kJob,
    kPass,
    kQuarantineEnd,
    kProbeEnd,
    kRecoveryEnd,
    kSoundRun,
  };

  struct Timer
  {
    Millis at;
    TimerKind kind = TimerKind::kPass;
    // The worker for `kQuarantineEnd`, the job slot for `kJob`, `kProbeEnd` and
    // `kSoundRun`.
    uint32_t index = 0;
    // `Job::generation` when the timer was set, for timers of a job slot. The
    // timer is ignored if the generation has changed since.
    uint32_t generation = 0;

    bool operator>(const Timer& aOther) const { return at > aOther.at; }
  };

  // Capacity reserved for a blocked job; at most one reservation per zone.
  struct Reservation
  {
    JobSlot job = kNoIndex;
    std::vector<WorkerIndex> workers;
    // When the job is expected to start on `workers`.
    Millis expectedStart;
  };

  // A task whose end no report of its worker's incarnation has confirmed.
  struct UnconfirmedTask
  {
    JobId job;
    Attempt attempt;
    MemberIndex member;
    std::optional<Millis> startedAt;
  };

  struct MemberRef
  {
    JobSlot slot = kNoIndex;
    uint32_t member = 0;
  };

  // core.cc
  void Handle(const ConfigurationChanged& aEvent);
  void Handle(const WorkerAnnounced& aEvent);
  void Handle(const WorkerRenewed& aEvent);
  void Handle(const JobAssigned& aEvent);
  void Handle(const JobCancelled& aEvent);
  void Handle(const TaskReport& aEvent);
  void Handle(const PrepareAcknowledged& aEvent);
  void Handle(const PrepareRefused& aEvent);
  void Handle(const StartAcknowledged& aEvent);
  void Handle(const JournalCommitted& aEvent);
  void Handle(const StartsAllowed& aEvent);
  void Handle(const Tick& aEvent);
  void RunTimers();
  void RunTimer(const Timer& aTimer);
  void SetTimer(Millis aAt, TimerKind aKind, uint32_t aIndex = 0);
  void SetDeadline(JobSlot aSlot, Millis aAt);
  FencingToken NextToken();
  JobView ViewOf(const Job& aJob) const;
  WorkerView ViewOf(WorkerIndex aIndex) const;
  template<typename T>
  void Emit(T aEffect)
  {
    mEffects.emplace_back(std::move(aEffect));
  }
  RecordId WriteJournal(JobSlot aSlot, JobEventKind aKind);

  // core_jobs.cc
  JobSlot CreateJob(const JobId& aId);
  void RemoveJob(JobSlot aSlot);
  uint32_t WorkspaceIndex(const WorkspaceId& aId);
  // Returns why the job can never run, or an empty string if it can.
  const char* ImpossibleReason(const Job& aJob) const;
  void EndIfImpossible(JobSlot aSlot);
  void ReplayUnassignedSuccesses();
  void CancelJob(JobSlot aSlot);
  void CancelPendingJobs();
  void RecheckWaitingJobs();
  void EndJob(JobSlot aSlot, JobEventKind aKind, const char* aReason);
  void Enqueue(JobSlot aSlot);
  void OnMemberSucceeded(MemberRef aRef);
  void OnMemberFailed(MemberRef aRef);
  void OnMemberCheckpointed(MemberRef aRef, const std::string& aHandle);
  void Succeed(JobSlot aSlot);
  void UpdateAlarms();

  // core_workers.cc
  void OnLeaseEnded(WorkerIndex aWorker);
  void OnLeaseMarginEnded(WorkerIndex aWorker);
  void Reconcile(WorkerIndex aWorker,
                 const std::vector<RunningTask>& aTasks,
                 bool aSameIncarnation);
  void RecoverTask(WorkerIndex aWorker, const RunningTask& aTask);
  // Accounts a success that the previous authority did not receive. Returns
  // false if the report is not such a success.
  bool RecoverSuccess(const TaskReport& aReport);
  // Counts the crash of a worker, last seen alive at `aLastSeen`, against the
  // jobs whose tasks ran on it.
  void OnWorkerCrashed(WorkerIndex aWorker,
                       const std::vector<RunningTask>& aTasks,
                       Millis aLastSeen);
  void RecordCrash(JobSlot aSlot, model::WorkerCrash aCrash);
  void GiveUp(JobSlot aSlot, const char* aReason);
  void AddUnconfirmedTask(MemberRef aRef);
  // Sets the timer that clears the job's crashes, if it has any.
  void WatchForSoundRun(JobSlot aSlot);
  void OnSoundRunDue(const Timer& aTimer);
  Millis LastSeen(WorkerIndex aWorker) const;
  void StopUnknownTask(WorkerIndex aWorker, const RunningTask& aTask);
  void AdoptIfComplete(JobSlot aSlot);
  void EndRecovery();
  bool IsRecovering() const { return mNow < mRecoveryEnd; }
  void RecordFailureOnWorker(JobSlot aSlot, WorkerIndex aWorker);
  void SetQuarantine(WorkerIndex aWorker, bool aQuarantined, bool aProbing);
  // Restores the match of cells and guaranteed jobs after a change of the
  // workers or the plan.
  void RepairGuarantees();

  // core_gang.cc
  TaskAddress AddressOf(const Job& aJob, uint32_t aMember) const;
  // Returns the member that a message of a worker refers to, or nothing if the
  // message is stale. `aExactToken` requires the member's current token;
  // otherwise an earlier token is accepted as well.
  std::optional<MemberRef> FindMember(const WorkerId& aWorker,
                                      const JobId& aJob,
                                      Attempt aAttempt,
                                      MemberIndex aMember,
                                      FencingToken aToken,
                                      bool aExactToken);
  void BeginAttempt(JobSlot aSlot,
                    Placement aWorkers,
                    std::vector<JobSlot> aVictims,
                    bool aGuaranteed);
  void PrepareClaimingJobs();
  bool CanAllocateClaims(const Job& aJob) const;
  void Prepare(JobSlot aSlot);
  void StartAll(JobSlot aSlot);
  // Called when a member is reported as running or succeeded.
  void OnMemberStarted(MemberRef aRef);
  void Rollback(JobSlot aSlot, CounterKind aCounter, const char* aReason);
  void DropClaims(JobSlot aSlot, const char* aReason);
  void StopGang(JobSlot aSlot, AfterStop aAfter, const char* aReason);
  void SendStops(JobSlot aSlot);
  void FinishIfStopped(JobSlot aSlot);
  void ReleaseMember(JobSlot aSlot, uint32_t aMember, MemberState aState);
  // Removes the gang from the guaranteed work, so that it may be preempted.
  void MakePreemptible(JobSlot aSlot);
  // Makes the gang guaranteed work if the cells of its workspace cover it, or
  // if one of them can be moved to cover it. Returns true if it did.
  bool MakeGuaranteedIfCovered(JobSlot aSlot);
  void Preempt(JobSlot aSlot, JobSlot aPreemptor);
  void Throttle(JobSlot aSlot);
  void OnJobDeadline(JobSlot aSlot);

  // core_pass.cc
  void RunPassIfDue();
  void RunPass();
  // The functions named `Try...` return true if they have begun an attempt.
  bool TryStart(JobSlot aSlot);
  bool QuotaAllows(const Job& aJob) const;
  PlacementRequest RequestFor(const Job& aJob) const;
  bool IsLongRunning(const Job& aJob) const;
  bool AvoidsWorker(const Job& aJob, WorkerIndex aWorker) const;
  bool TryOwnCells(JobSlot aSlot);
  bool TryMovedCell(JobSlot aSlot);
  bool TryFreeCapacity(JobSlot aSlot);
  // Returns how many members fit into the free capacity of a worker. With
  // `aOutsideCells`, accelerators that cells reserve are left out. A worker
  // reserved for another job fits none if `aExpectedEnd` is after the expected
  // start of that job.
  uint32_t CountFreeFits(const Job& aJob,
                         WorkerIndex aWorker,
                         bool aOutsideCells,
                         Millis aExpectedEnd) const;
  std::vector<WorkspaceLoad> WorkspaceLoads() const;

  // core_preempt.cc
  struct ReclaimPlan
  {
    PreemptionPlan plan;
    // The cell to move to the plan's workers; `SIZE_MAX` if none.
    std::size_t cell = SIZE_MAX;
  };
  bool TryReclaim(JobSlot aSlot);
  std::optional<ReclaimPlan> PlanInOwnCells(const Job& aJob) const;
  std::optional<ReclaimPlan> PlanInMovedCell(const Job& aJob) const;
  std::optional<ReclaimPlan> PlanReplacingOwnGuaranteedWork(
    const Job& aJob) const;
  std::optional<ReclaimPlan> PlanAnywhere(const Job& aJob) const;
  std::optional<double> VictimCost(const Job& aVictim) const;
  // Returns the sets of workers within one of which all members of the job must
  // be placed. `aLimit` has the meaning of `PreemptionRequest::limit`.
  std::vector<std::vector<WorkerIndex>> DomainsOf(
    const Job& aJob,
    model::TopologyScope aTopologyScope,
    const std::function<uint32_t(WorkerIndex)>& aLimit) const;
  // Returns the cells of the job's workspace that can be moved and are large
  // enough for the job, smallest first; one for each shape and zone.
  std::vector<std::size_t> MovableCells(const Job& aJob) const;

  // core_reservation.cc
  void UpdateReservations();
  void MarkReservedWorkers();
  JobSlot OldestBlockedJob() const;
  std::optional<Reservation> FindReservation(JobSlot aSlot) const;
  Reservation EstimateReservation(
    JobSlot aSlot,
    const std::vector<WorkerIndex>& aDomain) const;
  bool TryRelocation(const Reservation& aReservation);
  bool TryPreemptOverdueBackfill(const Reservation& aReservation);
  // Finds the preemption plan of the lowest cost over all domains. If `aAccept`
  // returns true for it, preempts its victims and begins an attempt.
  bool PreemptAndBegin(
    JobSlot aSlot,
    const std::vector<std::vector<WorkerIndex>>& aDomains,
    const std::function<std::optional<double>(const Job&)>& aCost,
    const std::function<bool(const PreemptionPlan&)>& aAccept,
    CounterKind aCounter);
  // Returns when a running job is expected to have ended with probability
  // `aQuantile`.
  Millis ExpectedEnd(const Job& aJob, double aQuantile) const;

  SchedulerOptions mOptions;
  Epoch mEpoch;
  Millis mNow;
  // True after the first step, which begins the recovery phase.
  bool mStarted = false;
  bool mConfigured = false;
  bool mStartsAllowed = true;
  // End of the recovery phase, in which announced tasks of earlier authorities
  // are adopted.
  Millis mRecoveryEnd;
  uint64_t mTokenCount = 0;
  uint64_t mRecordCount = 0;

  WorkerTable mWorkers;
  LeaseTable mLeases;
  Guarantees mGuarantees;
  RackRunTimeMix mRackRunTimeMix;
  JobQueue mQueue;
  RunTimeHistory mRunTimeHistory;
  WorkerFaultDetector mFaultDetector;
  // Released since the worker was last seen alive, by worker.
  std::unordered_map<WorkerIndex, std::vector<UnconfirmedTask>>
    mUnconfirmedTasks;
  Counters mCounters;
  model::Document mDocument;
  std::vector<ZoneId> mZones;
  model::PolicyWeights mWeights;
  PlacementPolicy mPlacementPolicy;

  // References to elements stay valid. Unused slots are listed in `mFreeSlots`.
  std::deque<Job> mJobs;
  std::vector<JobSlot> mFreeSlots;
  std::unordered_map<JobId, JobSlot> mSlotById;
  std::vector<WorkspaceState> mWorkspaces;
  std::unordered_map<WorkspaceId, uint32_t> mWorkspaceById;
  std::unordered_map<RecordId, JobSlot> mPendingRecords;

  std::vector<JobSlot> mClaimingJobs;
  std::vector<Reservation> mReservations;
  // The reservation that includes each worker, as its index in `mReservations`
  // plus one; 0 if there is none.
  std::vector<uint8_t> mReservationOfWorker;
  std::deque<JobId> mPendingCancellations;
  // Successes reported during recovery for jobs that are not assigned yet.
  std::vector<TaskReport> mUnassignedSuccesses;
  // Next slot to compare with a changed configuration; `kNoIndex` if done.
  JobSlot mNextRecheck = kNoIndex;
  // Active alarms by guarantee.
  std::map<std::string, Alarm> mAlarms;

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> mTimers;
  // True if the next pass must begin at the first candidate.
  bool mPassNeeded = false;
  // True if an urgent job was queued since the last pass. The next pass then
  // does not wait for `mNextPass`.
  bool mUrgentWaiting = false;
  // True if the next pass must call `RepairGuarantees` first.
  bool mRepairNeeded = false;
  // True if the last pass stopped before its last candidate.
  bool mPassIncomplete = false;
  // Position in the queue's order at which an incomplete pass continues.
  std::size_t mPassCursor = 0;
  // Earliest time of the next pass.
  Millis mNextPass;
  Millis mNextReservationUpdate;
  std::vector<Effect> mEffects;
};

} // namespace limpetwood::scheduler
