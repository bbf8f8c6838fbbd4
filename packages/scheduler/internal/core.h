// The state machine behind `Scheduler`. Its parts are spread over the files
// core_*.cc by subject.

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
    // Accelerators that are used or claimed.
    int64_t used = 0;
  };

  enum class TimerKind : uint8_t
  {
    kJob,
    kPass,
    kQuarantineEnd,
    kProbeEnd,
    kRecoveryEnd,
  };

  struct Timer
  {
    Millis at;
    TimerKind kind = TimerKind::kPass;
    uint32_t index = 0;
    uint32_t generation = 0;

    bool operator>(const Timer& aOther) const { return at > aOther.at; }
  };

  // Capacity of a domain that is kept for a blocked job; at most one a zone.
  struct Hold
  {
    JobSlot job = kNone;
    std::vector<WorkerIndex> workers;
    // When the job is expected to start there.
    Millis readyAt;
  };

  struct MemberRef
  {
    JobSlot slot = kNone;
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
  void Forget(JobSlot aSlot);
  uint32_t WorkspaceIndex(const WorkspaceId& aId);
  // Why the job can never run; empty if it can.
  const char* WhyImpossible(const Job& aJob) const;
  void EndIfImpossible(JobSlot aSlot);
  void ReplayParked();
  void Cancel(JobSlot aSlot);
  void CancelSome();
  void RecheckSome();
  void End(JobSlot aSlot, JobEventKind aKind, const char* aReason);
  void Enqueue(JobSlot aSlot);
  void MemberSucceeded(MemberRef aRef);
  void MemberFailed(MemberRef aRef);
  void MemberCheckpointed(MemberRef aRef, const std::string& aHandle);
  void Succeed(JobSlot aSlot);
  void UpdateAlarms();

  // core_workers.cc
  void LeaseEnded(WorkerIndex aWorker);
  void LeaseMarginEnded(WorkerIndex aWorker);
  void Reconcile(WorkerIndex aWorker,
                 const std::vector<RunningTask>& aTasks,
                 bool aSameIncarnation);
  void Recover(WorkerIndex aWorker, const RunningTask& aTask);
  // A success that was reported to nobody before the authority changed.
  bool RecoverSuccess(const TaskReport& aReport);
  void StopUnknown(WorkerIndex aWorker, const RunningTask& aTask);
  void AdoptIfWhole(JobSlot aSlot);
  void EndRecovery();
  bool Recovering() const { return mNow < mRecoveryEnd; }
  void BlameWorker(JobSlot aSlot, WorkerIndex aWorker);
  void SetQuarantine(WorkerIndex aWorker, bool aOn, bool aProbing);
  // Brings cells and guaranteed jobs in line after a change of the workers or
  // of the plan.
  void RepairGuarantees();

  // core_gang.cc
  TaskAddress AddressOf(const Job& aJob, uint32_t aMember) const;
  std::optional<MemberRef> FindMember(const WorkerId& aWorker,
                                      const JobId& aJob,
                                      Attempt aAttempt,
                                      MemberIndex aMember,
                                      FencingToken aToken,
                                      bool aExact);
  void Launch(JobSlot aSlot,
              Placement aWorkers,
              std::vector<JobSlot> aVictims,
              bool aGuaranteed);
  void PrepareClaimers();
  bool ClaimsAreReady(const Job& aJob) const;
  void Prepare(JobSlot aSlot);
  void StartAll(JobSlot aSlot);
  void MemberRunning(MemberRef aRef);
  void Rollback(JobSlot aSlot, CounterKind aCount, const char* aReason);
  void DropClaims(JobSlot aSlot, const char* aReason);
  void StopGang(JobSlot aSlot, AfterStop aAfter, const char* aReason);
  void SendStops(JobSlot aSlot);
  void FinishIfStopped(JobSlot aSlot);
  void VacateMember(JobSlot aSlot, uint32_t aMember, MemberState aState);
  void Demote(JobSlot aSlot);
  bool Promote(JobSlot aSlot);
  void Preempt(JobSlot aSlot, JobSlot aFor);
  void Throttle(JobSlot aSlot);
  void JobDeadline(JobSlot aSlot);

  // core_pass.cc
  void PassIfDue();
  void Pass();
  bool TryStart(JobSlot aSlot);
  bool QuotaAllows(const Job& aJob) const;
  PlacementRequest RequestFor(const Job& aJob) const;
  bool IsLong(const Job& aJob) const;
  bool AvoidsWorker(const Job& aJob, WorkerIndex aWorker) const;
  bool TryGuaranteed(JobSlot aSlot);
  bool TryMovingCell(JobSlot aSlot);
  bool TryFree(JobSlot aSlot);
  uint32_t FitsFree(const Job& aJob,
                    WorkerIndex aWorker,
                    bool aOutsideCells,
                    Millis aExpectedEnd) const;
  std::vector<WorkspaceLoad> Loads() const;

  // core_preempt.cc
  struct Reclaim
  {
    PreemptionPlan plan;
    std::size_t cell = SIZE_MAX;
  };
  bool TryReclaim(JobSlot aSlot);
  std::optional<Reclaim> PlanInOwnCells(const Job& aJob) const;
  std::optional<Reclaim> PlanInMovedCell(const Job& aJob) const;
  std::optional<Reclaim> PlanOverOwnWork(const Job& aJob) const;
  std::optional<Reclaim> PlanAnywhere(const Job& aJob) const;
  std::optional<double> VictimCost(const Job& aVictim) const;
  // The sets of workers within which the job's members must lie.
  std::vector<std::vector<WorkerIndex>> DomainsOf(
    const Job& aJob,
    model::TopologyScope aCloseness,
    const std::function<uint32_t(WorkerIndex)>& aLimit) const;
  std::vector<std::size_t> MovableCells(const Job& aJob) const;

  // core_hold.cc
  void UpdateHolds();
  void MarkHeld();
  JobSlot OldestBlocked() const;
  std::optional<Hold> FindHold(JobSlot aSlot) const;
  Hold ExpectReady(JobSlot aSlot,
                   const std::vector<WorkerIndex>& aDomain) const;
  bool TryMoves(const Hold& aHold);
  bool TryOverrun(const Hold& aHold);
  bool PreemptInto(
    JobSlot aSlot,
    const std::vector<std::vector<WorkerIndex>>& aDomains,
    const std::function<std::optional<double>(const Job&)>& aCost,
    const std::function<bool(const PreemptionPlan&)>& aAccept,
    CounterKind aCount);
  Millis ExpectedEnd(const Job& aJob, double aQuantile) const;

  SchedulerOptions mOptions;
  Epoch mEpoch;
  Millis mNow;
  bool mStepped = false;
  bool mConfigured = false;
  // Until then, announced tasks of earlier authorities are taken over.
  Millis mRecoveryEnd;
  uint64_t mTokens = 0;
  uint64_t mRecords = 0;

  WorkerTable mWorkers;
  LeaseTable mLeases;
  Guarantees mGuarantees;
  RackMix mMix;
  JobQueue mQueue;
  History mHistory;
  Blame mBlame;
  Counters mCounters;
  model::Document mDocument;
  std::vector<ZoneId> mZones;
  model::PolicyWeights mWeights;
  PlacementPolicy mPolicy;

  // Elements keep their address; free ones are in `mFreeSlots`.
  std::deque<Job> mJobs;
  std::vector<JobSlot> mFreeSlots;
  std::unordered_map<JobId, JobSlot> mById;
  std::vector<WorkspaceState> mWorkspaces;
  std::unordered_map<WorkspaceId, uint32_t> mByWorkspace;
  std::unordered_map<RecordId, JobSlot> mPending;

  std::vector<JobSlot> mClaimers;
  std::vector<Hold> mHolds;
  // The hold that covers a worker, as an index into `mHolds` plus one.
  std::vector<uint8_t> mHeld;
  std::deque<JobId> mCancelled;
  // Successes of jobs that are not assigned yet, during recovery.
  std::vector<TaskReport> mParked;
  // Next slot to be compared with a changed configuration.
  JobSlot mRecheck = kNone;
  // Alarm values by key, for alarms that are active.
  std::map<std::string, Alarm> mAlarms;

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> mTimers;
  bool mDirty = false;
  bool mUrgent = false;
  bool mRepair = false;
  // Candidates of the last pass that were not reached.
  bool mMore = false;
  std::size_t mCursor = 0;
  Millis mNextPass;
  Millis mNextHolds;
  std::vector<Effect> mEffects;
};

} // namespace limpetwood::scheduler
