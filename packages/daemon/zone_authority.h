// Runs the scheduler of one zone while this instance is the zone's authority:
// passes job orders, worker calls and journal results to the scheduler and
// executes the effects that it returns.
//
// Journal records are proposed to the control leader in batches. While the zone
// is cut off from the leader, an authority that had contact before executes its
// records at once and proposes them when contact is restored. An authority that
// was elected while cut off executes none, since it does not know which jobs
// its predecessor finished.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "control/codec.h"
#include "daemon/instance_environment.h"
#include "daemon/leader_client.h"
#include "model/validate.h"
#include "scheduler/scheduler.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace limpetwood::daemon {

struct ApiAnswer
{
  int status = 200;
  std::string body;
};

struct ZoneAuthorityCounters
{
  uint64_t announcements = 0;
  uint64_t renewals = 0;
  uint64_t refusedRenewals = 0;
  uint64_t workerCalls = 0;
  uint64_t workerCallsFailed = 0;
  // Journal records committed by the control group.
  uint64_t recordsCommitted = 0;
  // Records executed before commit while cut off.
  uint64_t recordsExecutedWhileCutOff = 0;
  uint64_t ordersReceived = 0;
};

class ZoneAuthority
{
public:
  ZoneAuthority(ZoneId aZone,
                Epoch aEpoch,
                Millis aWorkerLease,
                InstanceEnvironment& aEnvironment,
                LeaderClient& aLeader);
  ~ZoneAuthority();

  Epoch CurrentEpoch() const { return mEpoch; }

  void OnConfiguration(const model::PlannedDocument& aPlanned, Millis aNow);

  // Applies job orders of the control leader up to log index `aIndex`.
  void OnOrders(const std::vector<control::gen::JobOrder>& aOrders,
                uint64_t aIndex,
                Millis aNow);
  uint64_t OrdersIndex() const { return mOrdersIndex; }

  // No gang starts while the zone is evacuated, nor before `OnLeaderContact`.
  // Queued jobs of an evacuated zone are returned to the control leader; active
  // gangs continue.
  void SetEvacuated(bool aEvacuated, Millis aNow);
  bool Evacuated() const { return mEvacuated; }
  // The control leader has answered a heartbeat that was sent since the
  // election, so that the evacuation state passed to `SetEvacuated` is not
  // older than this authority.
  void OnLeaderContact(Millis aNow);

  // Handles a worker's announcement (JSON). Answers with status 400 if it is
  // malformed, and with 503 if the zone is suspended or is not the worker's, so
  // that the worker tries another instance.
  ApiAnswer OnAnnounce(std::string_view aBody, Millis aNow);
  // Renews a worker's lease and takes its task reports (JSON). `known` is false
  // in the answer if the worker must announce itself again. Answers with status
  // 400 if the renewal is malformed, and with 503 if the zone is suspended.
  ApiAnswer OnRenew(std::string_view aBody, Millis aNow);
  // Returns the zone's workers as JSON.
  ApiAnswer ListWorkers(Millis aNow) const;

  // `aCutOff` is true while the control leader is unreachable.
  void Tick(Millis aNow, bool aCutOff);
  Millis NextDeadline() const { return mScheduler.NextDeadline(); }

  // Called when the zone's autonomy ends. Refuses announcements and renewals
  // from then on, so that workers stop their tasks when their leases expire.
  void Suspend() { mSuspended = true; }
  bool Suspended() const { return mSuspended; }

  // Returns the events that were executed while cut off and are not committed,
  // and clears the journal.
  std::vector<control::gen::JobEvent> TakeUncommittedEvents();
  bool HasUncommittedEvents() const;

  uint32_t LiveAccelerators() const;
  uint32_t FreeAccelerators() const;
  uint32_t QueuedAccelerators() const;
  const scheduler::Counters& SchedulerCounters() const
  {
    return mScheduler.Counts();
  }
  const ZoneAuthorityCounters& Counters() const { return mCounters; }
  // Returns a description of each violated invariant of the scheduler.
  std::vector<std::string> CheckInvariants() const
  {
    return mScheduler.CheckInvariants();
  }
  // Active alarms. The key is the alarm's reason, followed by a slash and its
  // first value if it has values.
  const std::map<std::string, scheduler::Alarm>& Alarms() const
  {
    return mAlarms;
  }

private:
  // A job that the control leader has assigned to this zone.
  struct Order
  {
    model::JobSpec spec;
    bool ended = false;
  };

  // Passes an event to the scheduler and executes the returned effects.
  void Step(const scheduler::Event& aEvent, Millis aNow);
  void Execute(const scheduler::Effect& aEffect, Millis aNow);
  // Sends POST /v1/tasks/{aAction} to the task's worker. Does nothing if the
  // scheduler does not know the worker; `aDone` may be null.
  void PostToWorker(const scheduler::TaskAddress& aTask,
                    const char* aAction,
                    std::string aBody,
                    std::function<void(const WorkerAnswer&)> aDone);
  void SendPrepare(const scheduler::SendPrepare& aEffect);
  void SendStart(const scheduler::SendStart& aEffect);
  void SendStop(const scheduler::SendStop& aEffect);
  // Sends an action whose response causes no scheduler event.
  void SendIgnoringResponse(const scheduler::TaskAddress& aTask,
                            const char* aAction,
                            int64_t aDurationMs);
  // Returns queued jobs that need more accelerators than the zone's live
  // workers have to the control leader.
  void ReturnUnplaceableJobs(Millis aNow);
  // Returns the jobs of an evacuated zone that no task is running for.
  void ReturnQueuedJobs(Millis aNow);
  void UpdateStartsAllowed(Millis aNow);
  // Proposes the next batch of records. While cut off, executes the records
  // instead if the zone has received orders since the election.
  void FlushJournal(Millis aNow);
  void OnJournalAnswer(const ProposeAnswer& aAnswer, size_t aCount);
  // Lets the scheduler act on a record that is committed, or that may be
  // executed before commit because the zone is cut off.
  void ConfirmRecord(scheduler::RecordId aRecord, Millis aNow);

  ZoneId mZone;
  Epoch mEpoch;
  Millis mWorkerLease;
  InstanceEnvironment& mEnvironment;
  LeaderClient& mLeader;
  scheduler::Scheduler mScheduler;
  std::map<JobId, Order> mOrders;
  uint64_t mOrdersIndex = 0;
  // A message with job orders, possibly none, has arrived from the control
  // leader since the election.
  bool mHasReceivedOrders = false;
  bool mEvacuated = false;
  bool mHasLeaderContact = false;
  // Last value passed to the scheduler.
  bool mStartsAllowed = false;
  bool mCutOff = false;
  bool mSuspended = false;

  struct Record
  {
    scheduler::RecordId id;
    control::gen::JobEvent event;
    // Executed before it was committed, because the zone was cut off.
    bool executed = false;
  };
  // Uncommitted records, oldest first. The first `mInFlight` are in a proposal
  // without a reply.
  std::deque<Record> mJournal;
  size_t mInFlight = 0;
  // Jobs that are being cancelled in the scheduler to return them to the
  // control leader, with the reason of the return.
  std::map<JobId, const char*> mJobsBeingReturned;
  Millis mNextReturnCheck;
  // Latest time passed in; used by callbacks, which get no time.
  Millis mNow;
  std::map<std::string, scheduler::Alarm> mAlarms;
  ZoneAuthorityCounters mCounters;
  // Set to false on destruction. Callbacks hold a copy of the pointer and do
  // nothing if it is false.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace limpetwood::daemon
