#include "daemon/zone_authority.h"

#include "base/json.h"
#include "control/job_table.h"
#include "daemon/internal/json_fields.h"
#include "http/endpoint.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetwood::daemon {

namespace {

using nlohmann::json;
namespace gen = control::gen;
using namespace scheduler;

// Maximum number of journal records in one proposal.
constexpr size_t kMaxJournalBatch = 128;
constexpr Millis kReturnCheckInterval = Seconds(1);
// A queued job that needs more accelerators than the zone's live workers have
// is returned to the control leader if it was submitted at least this long ago.
// Restarting workers are back within their lease, so a longer shortage is not
// temporary.
constexpr Millis kReturnDelay = Seconds(20);

template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

scheduler::SchedulerOptions
OptionsFor(Millis aWorkerLease)
{
  scheduler::SchedulerOptions options;
  options.workerLease = aWorkerLease;
  // The zone may be evacuated; see `ZoneAuthority::OnLeaderContact`.
  options.startsAllowed = false;
  return options;
}

ApiAnswer
Refuse(int aStatus, std::string_view aReason)
{
  json body = { { "verdict", "not_run" }, { "reason", aReason } };
  return { aStatus, body.dump() + "\n" };
}

std::optional<TaskState>
ParseTaskState(std::string_view aName)
{
  if (aName == "running") {
    return TaskState::kRunning;
  }
  if (aName == "succeeded") {
    return TaskState::kSucceeded;
  }
  if (aName == "failed") {
    return TaskState::kFailed;
  }
  if (aName == "checkpointed") {
    return TaskState::kCheckpointed;
  }
  if (aName == "stopped") {
    return TaskState::kStopped;
  }
  return std::nullopt;
}

control::JobEventKind
ToControlKind(JobEventKind aKind)
{
  switch (aKind) {
    case JobEventKind::kStarting:
      return control::JobEventKind::kStarting;
    case JobEventKind::kRunning:
      return control::JobEventKind::kRunning;
    case JobEventKind::kStopped:
      return control::JobEventKind::kRequeued;
    case JobEventKind::kSucceeded:
      return control::JobEventKind::kSucceeded;
    case JobEventKind::kFailed:
      return control::JobEventKind::kFailed;
    case JobEventKind::kCancelled:
      return control::JobEventKind::kCancelled;
    case JobEventKind::kWorkerCrashed:
      return control::JobEventKind::kWorkerCrashed;
    case JobEventKind::kSound:
      return control::JobEventKind::kSound;
    case JobEventKind::kImpossible:
      break;
  }
  return control::JobEventKind::kImpossible;
}

gen::JobEvent
ToWire(const JobEvent& aEvent)
{
  gen::JobEvent event;
  event.job = aEvent.job.Value();
  event.attempt = static_cast<int32_t>(aEvent.attempt.Value());
  event.kind = static_cast<int32_t>(ToControlKind(aEvent.kind));
  event.reason = aEvent.reason;
  event.checkpoint = aEvent.checkpoint;
  event.atMs = WallNow().Count();
  if (aEvent.crash) {
    event.__set_crash(control::ToWire(*aEvent.crash));
  }
  return event;
}

// Returns the log event of a crash; `aEvent.crash` must be set.
LogEvent
CrashLogEvent(const JobEvent& aEvent)
{
  const model::WorkerCrash& crash = *aEvent.crash;
  LogEvent event("worker_crashed");
  event.Add("job", aEvent.job.Value());
  event.Add("attempt", crash.attempt.Value());
  event.Add("member", crash.member.Value());
  event.Add("worker", crash.worker.Value());
  event.Add("after_start", crash.afterStart);
  event.Add("alone", crash.alone);
  return event;
}

// Returns true if the event ends the job's assignment to this zone.
bool
EndsAssignment(const gen::JobEvent& aEvent)
{
  switch (static_cast<control::JobEventKind>(aEvent.kind)) {
    case control::JobEventKind::kSucceeded:
    case control::JobEventKind::kFailed:
    case control::JobEventKind::kCancelled:
    case control::JobEventKind::kImpossible:
    case control::JobEventKind::kReturned:
      return true;
    default:
      return false;
  }
}

RunningTask
ParseRunningTask(const json& aTask)
{
  RunningTask task;
  task.job = JobId(StringField(aTask, "job"));
  task.attempt = Attempt(Uint32Field(aTask, "attempt"));
  task.member = MemberIndex(Uint32Field(aTask, "member"));
  task.gangSize = std::max<uint32_t>(1, Uint32Field(aTask, "gangSize"));
  task.token = FencingToken(UnsignedField(aTask, "token"));
  return task;
}

} // namespace

ZoneAuthority::ZoneAuthority(ZoneId aZone,
                             Epoch aEpoch,
                             Millis aWorkerLease,
                             InstanceEnvironment& aEnvironment,
                             LeaderClient& aLeader)
  : mZone(std::move(aZone))
  , mEpoch(aEpoch)
  , mWorkerLease(aWorkerLease)
  , mEnvironment(aEnvironment)
  , mLeader(aLeader)
  , mScheduler(OptionsFor(aWorkerLease), aEpoch)
{
}

ZoneAuthority::~ZoneAuthority()
{
  *mAlive = false;
}

void
ZoneAuthority::OnConfiguration(const model::PlannedDocument& aPlanned,
                               Millis aNow)
{
  Step(ConfigurationChanged{ aPlanned, { mZone } }, aNow);
}

void
ZoneAuthority::OnOrders(const std::vector<gen::JobOrder>& aOrders,
                        uint64_t aIndex,
                        Millis aNow)
{
  mHasReceivedOrders = true;
  JobCancelled cancelled;
  for (const gen::JobOrder& it : aOrders) {
    ++mCounters.ordersReceived;
    JobId id(it.job);
    if (!mOrders.contains(id)) {
      auto spec = model::ParseJobSpec(it.spec);
      if (!spec.Ok()) {
        continue;
      }
      mOrders[id].spec = spec.value;
      // May be left over from an earlier assignment that ended otherwise.
      mJobsBeingReturned.erase(id);
      JobAssigned assigned;
      assigned.job = id;
      assigned.spec = std::move(spec.value);
      // The scheduler uses this process's monotonic clock, so the submission
      // time is converted by way of the job's age.
      Millis age = WallNow() - Millis(it.submittedAtMs);
      assigned.submittedAt = aNow - std::max(age, Millis(0));
      assigned.lastAttempt = Attempt(static_cast<uint32_t>(it.attempts));
      assigned.checkpoint = it.checkpoint;
      if (it.__isset.crashes) {
        assigned.crashes = control::FromWire(it.crashes);
      }
      Step(assigned, aNow);
    }
    if (it.cancelled) {
      cancelled.jobs.push_back(id);
    }
  }
  if (!cancelled.jobs.empty()) {
    Step(cancelled, aNow);
  }
  mOrdersIndex = std::max(mOrdersIndex, aIndex);
}

void
ZoneAuthority::SetEvacuated(bool aEvacuated, Millis aNow)
{
  mEvacuated = aEvacuated;
  UpdateStartsAllowed(aNow);
  if (mEvacuated) {
    // Return the queued jobs with the next tick.
    mNextReturnCheck = aNow;
  }
}

void
ZoneAuthority::OnLeaderContact(Millis aNow)
{
  mHasLeaderContact = true;
  UpdateStartsAllowed(aNow);
}

void
ZoneAuthority::UpdateStartsAllowed(Millis aNow)
{
  bool allowed = mHasLeaderContact && !mEvacuated;
  if (allowed != mStartsAllowed) {
    mStartsAllowed = allowed;
    Step(StartsAllowed{ allowed }, aNow);
  }
}

ApiAnswer
ZoneAuthority::OnAnnounce(std::string_view aBody, Millis aNow)
{
  ++mCounters.announcements;
  if (mSuspended) {
    return Refuse(503, "autonomy_ended");
  }
  json body = ParseJson(aBody);
  if (!body.is_object() || StringField(body, "worker").empty() ||
      !http::ParseEndpoint(StringField(body, "address"))) {
    return Refuse(400, "malformed_announcement");
  }
  if (StringField(body, "zone") != mZone.Value()) {
    // On status 503, a worker tries another instance.
    return Refuse(503, "wrong_zone");
  }
  WorkerAnnounced event;
  event.worker = WorkerId(StringField(body, "worker"));
  event.zone = mZone;
  event.rack = RackId(StringField(body, "rack"));
  event.incarnation = Incarnation(UnsignedField(body, "incarnation"));
  event.cores = Uint32Field(body, "cores");
  event.memoryMb = UnsignedField(body, "memoryMb");
  event.accelerators = Accelerators(Uint32Field(body, "accelerators"));
  event.address = StringField(body, "address");
  if (auto tasks = body.find("tasks");
      tasks != body.end() && tasks->is_array()) {
    for (const json& it : *tasks) {
      if (it.is_object()) {
        event.tasks.push_back(ParseRunningTask(it));
      }
    }
  }
  Step(event, aNow);
  json answer = { { "leaseMs", mWorkerLease.Count() }, { "known", true } };
  return { 200, answer.dump() + "\n" };
}

ApiAnswer
ZoneAuthority::OnRenew(std::string_view aBody, Millis aNow)
{
  ++mCounters.renewals;
  if (mSuspended) {
    return Refuse(503, "autonomy_ended");
  }
  json body = ParseJson(aBody);
  if (!body.is_object()) {
    return Refuse(400, "malformed_renewal");
  }
  WorkerId id(StringField(body, "worker"));
  Incarnation incarnation(UnsignedField(body, "incarnation"));
  auto known = mScheduler.FindWorker(id);
  if (!known || known->incarnation != incarnation || !known->alive) {
    ++mCounters.refusedRenewals;
    json answer = { { "leaseMs", 0 }, { "known", false } };
    return { 200, answer.dump() + "\n" };
  }
  bool keepReports = false;
  Step(WorkerRenewed{ id, incarnation, /*cpuUsage=*/0 }, aNow);
  if (auto reports = body.find("reports");
      reports != body.end() && reports->is_array()) {
    for (const json& it : *reports) {
      std::optional<TaskState> state;
      if (it.is_object()) {
        state = ParseTaskState(StringField(it, "state"));
      }
      if (!state) {
        continue;
      }
      RunningTask task = ParseRunningTask(it);
      TaskReport report;
      report.worker = id;
      report.job = task.job;
      report.attempt = task.attempt;
      report.member = task.member;
      report.token = task.token;
      report.state = *state;
      report.checkpoint = StringField(it, "checkpoint");
      Step(report, aNow);
      // The worker must keep and repeat a task's final report until the end of
      // its job is durable, so that a later authority receives it too.
      bool ended =
        *state == TaskState::kSucceeded || *state == TaskState::kFailed;
      keepReports = keepReports || (ended && mOrders.contains(task.job));
    }
  }
  json answer = { { "leaseMs", mWorkerLease.Count() },
                  { "known", true },
                  { "keepReports", keepReports } };
  return { 200, answer.dump() + "\n" };
}

ApiAnswer
ZoneAuthority::ListWorkers(Millis aNow) const
{
  json workers = json::array();
  for (const WorkerView& it : mScheduler.Workers()) {
    const char* state = !it.alive        ? "lost"
                        : it.quarantined ? "quarantined"
                                         : "ready";
    workers.push_back(
      { { "worker", it.worker.Value() },
        { "zone", it.zone.Value() },
        { "rack", it.rack.Value() },
        { "state", state },
        { "accelerators", it.accelerators.Value() },
        { "used", it.acceleratorsUsed.Value() },
        { "tasks", it.tasks },
        { "leaseMs", std::max<int64_t>(0, (it.leaseEnd - aNow).Count()) } });
  }
  json body = { { "workers", workers } };
  return { 200, body.dump() + "\n" };
}

void
ZoneAuthority::Step(const Event& aEvent, Millis aNow)
{
  mNow = std::max(mNow, aNow);
  for (const Effect& it : mScheduler.Step(aEvent, mNow)) {
    Execute(it, mNow);
  }
}

void
ZoneAuthority::Execute(const Effect& aEffect, Millis aNow)
{
  std::visit(
    Overloaded{ [this](const scheduler::SendPrepare& it) { SendPrepare(it); },
                [this](const scheduler::SendStart& it) { SendStart(it); },
                [this](const SendCheckpoint& it) {
                  SendIgnoringResponse(it.task, "checkpoint", it.durationMs);
                },
                [this](const SendThrottle& it) {
                  SendIgnoringResponse(it.task, "throttle", it.durationMs);
                },
                [this](const scheduler::SendStop& it) { SendStop(it); },
                [this](const SendRelease& it) {
                  SendIgnoringResponse(it.task, "release", 0);
                },
                [this](const WriteJournalRecord& it) {
                  mJournal.push_back({ it.record, ToWire(it.event), false });
                  if (it.event.crash) {
                    mEnvironment.Log(CrashLogEvent(it.event));
                  }
                  auto returned = mJobsBeingReturned.find(it.event.job);
                  if (it.event.kind == JobEventKind::kCancelled &&
                      returned != mJobsBeingReturned.end()) {
                    gen::JobEvent& event = mJournal.back().event;
                    event.kind =
                      static_cast<int32_t>(control::JobEventKind::kReturned);
                    event.reason = returned->second;
                    mJobsBeingReturned.erase(returned);
                  }
                },
                [this](const Alarm& it) {
                  std::string key = it.reason;
                  LogEvent event(it.active ? "alarm" : "alarm_ended");
                  event.Add("reason", it.reason);
                  for (const auto& [name, value] : it.values) {
                    event.Add(name, value);
                  }
                  if (!it.values.empty()) {
                    key += "/" + it.values.front().second;
                  }
                  bool changed = it.active
                                   ? mAlarms.insert_or_assign(key, it).second
                                   : mAlarms.erase(key) > 0;
                  if (changed) {
                    mEnvironment.Log(event);
                  }
                } },
    aEffect);
  (void)aNow;
}

void
ZoneAuthority::Tick(Millis aNow, bool aCutOff)
{
  mNow = std::max(mNow, aNow);
  mCutOff = aCutOff;
  if (!mSuspended && aNow >= mScheduler.NextDeadline()) {
    Step(scheduler::Tick{}, aNow);
  }
  if (!mSuspended && !mCutOff && aNow >= mNextReturnCheck) {
    mNextReturnCheck = aNow + kReturnCheckInterval;
    if (mEvacuated) {
      ReturnQueuedJobs(aNow);
    } else {
      ReturnUnplaceableJobs(aNow);
    }
  }
  FlushJournal(aNow);
}

void
ZoneAuthority::ReturnUnplaceableJobs(Millis aNow)
{
  uint32_t live = LiveAccelerators();
  JobCancelled withdrawn;
  for (const JobView& it : mScheduler.Jobs()) {
    auto order = mOrders.find(it.job);
    bool overdue = it.state == model::JobState::kQueued &&
                   aNow - it.submittedAt >= kReturnDelay;
    if (overdue && order != mOrders.end() &&
        !mJobsBeingReturned.contains(it.job) &&
        order->second.spec.TotalAccelerators().Value() > live) {
      mJobsBeingReturned.emplace(it.job, "zone_lacks_workers");
      withdrawn.jobs.push_back(it.job);
    }
  }
  if (!withdrawn.jobs.empty()) {
    Step(withdrawn, aNow);
  }
}

void
ZoneAuthority::ReturnQueuedJobs(Millis aNow)
{
  JobCancelled withdrawn;
  for (const JobView& it : mScheduler.Jobs()) {
    // Before `notBefore`, an earlier attempt may still run here, so that the
    // job could run twice if it were assigned to another zone.
    if (it.state == model::JobState::kQueued && it.notBefore <= aNow &&
        mOrders.contains(it.job) &&
        mJobsBeingReturned.emplace(it.job, "zone_evacuated").second) {
      withdrawn.jobs.push_back(it.job);
    }
  }
  if (!withdrawn.jobs.empty()) {
    Step(withdrawn, aNow);
  }
}

void
ZoneAuthority::FlushJournal(Millis aNow)
{
  if (mCutOff && mHasReceivedOrders) {
    // Skip the records of the proposal in flight: they are executed only after
    // the proposal has ended with a reply or at its deadline.
    for (size_t n = mInFlight; n < mJournal.size(); ++n) {
      if (!mJournal[n].executed) {
        mJournal[n].executed = true;
        mJournal[n].event.__set_executed(true);
        ++mCounters.recordsExecutedWhileCutOff;
        ConfirmRecord(mJournal[n].id, aNow);
      }
    }
    return;
  }
  if (mInFlight > 0 || mJournal.empty() || mCutOff) {
    return;
  }
  mInFlight = std::min(mJournal.size(), kMaxJournalBatch);
  gen::JobEvents events;
  events.zone = mZone.Value();
  events.epoch = static_cast<int64_t>(mEpoch.Value());
  for (size_t n = 0; n < mInFlight; ++n) {
    events.events.push_back(mJournal[n].event);
  }
  gen::Command command;
  command.__set_jobEvents(events);
  size_t count = mInFlight;
  mLeader.Propose(control::Encode(command),
                  aNow,
                  [this, alive = mAlive, count](const ProposeAnswer& aAnswer) {
                    if (*alive) {
                      OnJournalAnswer(aAnswer, count);
                    }
                  });
}

void
ZoneAuthority::OnJournalAnswer(const ProposeAnswer& aAnswer, size_t aCount)
{
  mInFlight = 0;
  if (aAnswer.verdict != Verdict::kAnswered) {
    // Proposing the records again is safe, because their events are idempotent.
    return;
  }
  if (!aAnswer.result.accepted) {
    mEnvironment.Log(
      LogEvent("journal_refused").Add("reason", aAnswer.result.reason));
    return;
  }
  std::vector<Record> committed;
  for (size_t n = 0; n < aCount; ++n) {
    committed.push_back(std::move(mJournal.front()));
    mJournal.pop_front();
  }
  // Jobs whose events were not applied, because the jobs are no longer assigned
  // to this zone, this authority is superseded or the zone is evacuated.
  const std::vector<std::string>& notAppliedJobs = aAnswer.result.changes;
  bool evacuated = aAnswer.result.reason == "zone_evacuated";
  JobCancelled cancelled;
  for (const Record& it : committed) {
    ++mCounters.recordsCommitted;
    bool notApplied =
      std::find(notAppliedJobs.begin(), notAppliedJobs.end(), it.event.job) !=
      notAppliedJobs.end();
    // The event ends the job's assignment, though not the job if it is
    // returned.
    bool final = EndsAssignment(it.event);
    if (notApplied && !final) {
      JobId job(it.event.job);
      // A job whose start was refused is still assigned to this zone and must
      // not end as cancelled. The return has no effect for other jobs.
      if (evacuated && mScheduler.FindJob(job)) {
        mJobsBeingReturned.emplace(job, "zone_evacuated");
      }
      cancelled.jobs.push_back(std::move(job));
    }
    if (final) {
      // Forget the order, since the job may be assigned to this zone again.
      mOrders.erase(JobId(it.event.job));
    }
    if (!it.executed && (!notApplied || final)) {
      ConfirmRecord(it.id, mNow);
    }
  }
  if (!cancelled.jobs.empty()) {
    Step(cancelled, mNow);
  }
}

void
ZoneAuthority::ConfirmRecord(RecordId aRecord, Millis aNow)
{
  Step(JournalCommitted{ aRecord }, aNow);
}

std::vector<gen::JobEvent>
ZoneAuthority::TakeUncommittedEvents()
{
  std::vector<gen::JobEvent> events;
  for (Record& it : mJournal) {
    if (it.executed) {
      events.push_back(std::move(it.event));
    }
  }
  mJournal.clear();
  mInFlight = 0;
  return events;
}

bool
ZoneAuthority::HasUncommittedEvents() const
{
  return std::any_of(mJournal.begin(), mJournal.end(), [](const Record& it) {
    return it.executed;
  });
}

uint32_t
ZoneAuthority::LiveAccelerators() const
{
  uint32_t live = 0;
  for (const WorkerView& it : mScheduler.Workers()) {
    live += it.alive ? it.accelerators.Value() : 0;
  }
  return live;
}

uint32_t
ZoneAuthority::FreeAccelerators() const
{
  uint32_t free = 0;
  for (const WorkerView& it : mScheduler.Workers()) {
    if (it.alive && !it.quarantined) {
      free += it.accelerators.Value() - it.acceleratorsUsed.Value();
    }
  }
  return free;
}

uint32_t
ZoneAuthority::QueuedAccelerators() const
{
  uint32_t queued = 0;
  for (const JobView& it : mScheduler.Jobs()) {
    auto order = mOrders.find(it.job);
    if (it.state == model::JobState::kQueued && order != mOrders.end()) {
      queued += order->second.spec.TotalAccelerators().Value();
    }
  }
  return queued;
}

} // namespace limpetwood::daemon
