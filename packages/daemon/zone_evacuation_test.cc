// Tests the evacuation of a zone on an instance that is the zone's authority:
// what starts, what is returned to the control leader, and the control API. The
// control leader and the worker are simulated in virtual time.

#include "control/state.h"
#include "daemon/instance_core.h"
#include "model/delta.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace limpetwood::daemon {
namespace {

namespace gen = control::gen;
using nlohmann::json;

// The guarantees take one worker in each zone.
constexpr const char* kDocument = R"({"zones":["sogn","voss"],
  "racks":[{"id":"r1","zone":"sogn","workers":4,"acceleratorsPerWorker":8,
            "coresPerWorker":64,"memoryMbPerWorker":100000},
           {"id":"r2","zone":"voss","workers":4,"acceleratorsPerWorker":8,
            "coresPerWorker":64,"memoryMbPerWorker":100000}],
  "workspaces":[{"id":"surveys","guarantees":[
    {"shape":{"accelerators":8,"closeness":"worker"},"count":2}],
    "quota":{"accelerators":32,"jobs":100,"requests":100}}],
  "services":[]})";

const InstanceId kSelf("i-sogn");
const InstanceId kLeader("i-voss");

model::Settings
MakeSettings()
{
  model::Settings settings;
  settings.instance = kSelf;
  settings.zone = ZoneId("sogn");
  settings.instances = {
    { kSelf, ZoneId("sogn"), "127.0.0.1:1", "127.0.0.1:2", false },
    { kLeader, ZoneId("voss"), "127.0.0.1:3", "127.0.0.1:4", true }
  };
  settings.voters = { kLeader };
  return settings;
}

// An instance core that is the only instance of its zone, a control leader with
// the replicated state, and one worker that accepts every call.
class Zone : public InstanceEnvironment
{
public:
  Zone()
  {
    gen::SubmitConfiguration submit;
    submit.document = kDocument;
    gen::Command command;
    command.__set_submitConfiguration(submit);
    EXPECT_TRUE(Apply(command).accepted);
    membership::VersionedConfiguration stored;
    stored.version = ConfigVersion(1);
    stored.document = state.Configuration()->text;
    mCore.emplace(MakeSettings(), stored, *this, 1, now);
  }

  void RunFor(Millis aTime)
  {
    for (Millis end = now + aTime; now < end; now += Millis(50)) {
      mCore->Tick(now);
      if (workerAnnounced && now >= mNextRenewal) {
        mNextRenewal = now + Seconds(5);
        AnnounceOrRenew();
      }
      Deliver();
    }
  }

  // Runs until this instance is the zone's authority.
  void Elect()
  {
    for (int n = 0; n < 60 && !mCore->IsAuthority(now); ++n) {
      RunFor(Millis(500));
    }
    ASSERT_TRUE(mCore->IsAuthority(now));
  }

  gen::CommandResult Apply(const gen::Command& aCommand)
  {
    return control::Decode<gen::CommandResult>(
             state.Apply(++mIndex, control::Encode(aCommand)))
      .Value();
  }

  void SubmitAndAssign(const char* aJob)
  {
    gen::SubmitJob submit;
    submit.job = aJob;
    submit.spec = R"({"workspace":"surveys","name":"mesh","members":1,
      "acceleratorsPerMember":8})";
    submit.submittedAtMs = WallNow().Count();
    gen::Command command;
    command.__set_submitJob(submit);
    ASSERT_TRUE(Apply(command).accepted);
    Assign(aJob);
  }

  void Assign(const char* aJob)
  {
    gen::AssignJob assign;
    assign.job = aJob;
    assign.zone = "sogn";
    gen::Command command;
    command.__set_assignJobs({ assign });
    Apply(command);
  }

  // Records the start of the first attempt by an earlier authority.
  void RecordStart(const char* aJob)
  {
    gen::JobEvent event;
    event.job = aJob;
    event.attempt = 1;
    event.kind = static_cast<int32_t>(control::JobEventKind::kStarting);
    gen::JobEvents events;
    events.zone = "sogn";
    events.epoch = 1;
    events.events = { event };
    gen::Command command;
    command.__set_jobEvents(events);
    EXPECT_TRUE(Apply(command).changes.empty());
  }

  void Order(bool aEvacuate, const char* aZone = "sogn")
  {
    gen::ZoneOrder order;
    order.zone = aZone;
    order.by = "ada";
    gen::Command command;
    if (aEvacuate) {
      command.__set_evacuateZone(order);
    } else {
      command.__set_restoreZone(order);
    }
    ASSERT_TRUE(Apply(command).accepted);
  }

  ApiAnswer Call(const char* aMethod,
                 const char* aTarget,
                 const std::string& aBody,
                 const char* aKey = "")
  {
    return CallThatWaited(Millis(0), aMethod, aTarget, aBody, aKey);
  }

  // A call that has waited unread for up to `aTime`.
  ApiAnswer CallThatWaited(Millis aTime,
                           const char* aMethod,
                           const char* aTarget,
                           const std::string& aBody,
                           const char* aKey = "")
  {
    ApiAnswer answer;
    answer.status = 0;
    ApiCall call;
    call.arrivedAfter = now - aTime;
    call.method = aMethod;
    call.target = aTarget;
    call.body = aBody;
    call.key = aKey;
    mCore->OnApiCall(
      call, now, [&answer](ApiAnswer aAnswer) { answer = aAnswer; });
    Deliver();
    return answer;
  }

  // Sends the reply of the control leader to a heartbeat. With `aSentAtMs` 0,
  // it is a pushed message.
  void SendReply(int64_t aSentAtMs)
  {
    gen::HeartbeatReply reply;
    reply.sentAtMs = aSentAtMs;
    reply.version = 1;
    if (state.ZoneOrderIndex() > 0 && tellsEvacuation) {
      gen::EvacuatedZones evacuated;
      evacuated.index = static_cast<int64_t>(state.EvacuationIndex());
      evacuated.zoneOrderIndex = static_cast<int64_t>(state.ZoneOrderIndex());
      for (const auto& [zone, evacuation] : state.EvacuatedZones()) {
        evacuated.zones.push_back(zone.Value());
      }
      reply.__set_evacuated(evacuated);
    }
    if (stateIncomplete) {
      reply.__set_stateIncomplete(true);
    }
    // All orders are sent each time; the authority ignores known ones.
    reply.__set_afterIndex(0);
    for (const control::JobRecord* it :
         state.Jobs().OrdersFor(ZoneId("sogn"), 0, 100)) {
      gen::JobOrder order;
      order.job = it->id.Value();
      order.spec = model::WriteJobSpec(it->spec);
      order.attempts = static_cast<int32_t>(it->attempt.Value());
      order.submittedAtMs = it->submittedAt.Count();
      reply.orders.push_back(order);
      reply.ordersIndex = static_cast<int64_t>(it->orderIndex);
    }
    gen::ControlMessage message;
    message.__set_heartbeatReply(reply);
    mCore->OnControl(kLeader, message, now);
  }

  // Sends a message of an earlier leader that knows no evacuated zone.
  void SendEvacuatedZones(uint64_t aIndex)
  {
    gen::HeartbeatReply reply;
    gen::EvacuatedZones evacuated;
    evacuated.index = static_cast<int64_t>(aIndex);
    reply.__set_evacuated(evacuated);
    gen::ControlMessage message;
    message.__set_heartbeatReply(reply);
    mCore->OnControl(kLeader, message, now);
  }

  // The instance resigns as the zone's authority.
  void Drain() { mCore->StartDrain(now); }

  // Number of active alarms of the zone authority.
  size_t Alarms() const { return mCore->Authority()->Alarms().size(); }

  size_t Calls(const char* aAction) const
  {
    return static_cast<size_t>(std::count(calls.begin(), calls.end(), aAction));
  }

  const control::JobRecord& Job(const char* aJob) const
  {
    return *state.Jobs().Find(JobId(aJob));
  }

  control::ControlState state;
  Millis now{ 1000 };
  bool workerAnnounced = false;
  int workerIncarnation = 1;
  // The worker announces that it runs the first attempt of this job.
  std::string runningJob;
  bool leaderReachable = true;
  // Whether the leader's messages contain the evacuated zones.
  bool tellsEvacuation = true;
  bool stateIncomplete = false;
  // The leader answers no proposals until this is false again.
  bool holdProposals = false;
  // The leader rejects every command with this reason if it is not empty.
  std::string rejectReason;
  // How often this instance was asked to drain.
  int drains = 0;
  // Actions that the worker was asked for.
  std::vector<std::string> calls;

private:
  void SendControl(const InstanceId& aTo,
                   const gen::ControlMessage& aMessage) override
  {
    mMessages.emplace_back(aTo, aMessage);
  }

  void CallWorker(const std::string&,
                  const std::string& aPath,
                  std::string,
                  std::function<void(WorkerAnswer)> aDone) override
  {
    calls.push_back(aPath.substr(aPath.rfind('/') + 1));
    mWorkerAnswers.push_back(std::move(aDone));
  }

  std::error_code Persist(const membership::VersionedConfiguration&) override
  {
    return {};
  }
  void OnConfigurationInForce(const membership::VersionedConfiguration&,
                              const model::PlannedDocument&) override
  {
  }
  void OnEvacuatedZones(uint64_t, const std::set<ZoneId>&) override {}
  void RequestDrain() override { ++drains; }
  void Log(const LogEvent&) override {}

  void AnnounceOrRenew()
  {
    json renewal = { { "worker", "w1" }, { "incarnation", workerIncarnation } };
    ApiAnswer answer = Call("POST", "/v1/workers/renew", renewal.dump());
    if (answer.status == 200 &&
        json::parse(answer.body).value("known", false)) {
      return;
    }
    json announcement = {
      { "worker", "w1" },    { "zone", "sogn" },
      { "rack", "r1" },      { "incarnation", workerIncarnation },
      { "cores", 64 },       { "memoryMb", 100000 },
      { "accelerators", 8 }, { "address", "127.0.0.1:9" }
    };
    if (!runningJob.empty()) {
      announcement["tasks"] = { { { "job", runningJob },
                                  { "attempt", 1 },
                                  { "member", 0 },
                                  { "gangSize", 1 },
                                  { "token", 1 } } };
    }
    Call("POST", "/v1/workers/announce", announcement.dump());
  }

  void Deliver()
  {
    while (!mMessages.empty() || !mWorkerAnswers.empty()) {
      if (!holdProposals) {
        std::move(mHeld.begin(), mHeld.end(), std::back_inserter(mMessages));
        mHeld.clear();
      }
      auto messages = std::move(mMessages);
      mMessages.clear();
      for (const auto& [to, message] : messages) {
        if (message.__isset.propose && holdProposals) {
          mHeld.emplace_back(to, message);
        } else if (to == kSelf) {
          mCore->OnControl(kSelf, message, now);
        } else if (leaderReachable) {
          AnswerAsLeader(message);
        }
      }
      auto answers = std::move(mWorkerAnswers);
      mWorkerAnswers.clear();
      for (const auto& it : answers) {
        it({ Verdict::kAnswered, 200, "{}" });
      }
    }
  }

  void AnswerAsLeader(const gen::ControlMessage& aMessage)
  {
    if (aMessage.__isset.heartbeat) {
      SendReply(aMessage.heartbeat.sentAtMs);
    } else if (aMessage.__isset.propose) {
      gen::ProposeReply reply;
      reply.id = aMessage.propose.id;
      reply.verdict = static_cast<int32_t>(Verdict::kAnswered);
      gen::CommandResult result;
      if (rejectReason.empty()) {
        result = control::Decode<gen::CommandResult>(
                   state.Apply(++mIndex, aMessage.propose.command))
                   .Value();
      } else {
        result.reason = rejectReason;
      }
      reply.__set_result(result);
      gen::ControlMessage message;
      message.__set_proposeReply(reply);
      mCore->OnControl(kLeader, message, now);
    }
  }

  uint64_t mIndex = 0;
  Millis mNextRenewal;
  std::vector<std::pair<InstanceId, gen::ControlMessage>> mMessages;
  std::vector<std::pair<InstanceId, gen::ControlMessage>> mHeld;
  std::vector<std::function<void(WorkerAnswer)>> mWorkerAnswers;
  std::optional<InstanceCore> mCore;
};

// Without an evacuation, jobs start as before. Shows that the other tests see
// starts if there are any.
TEST(ZoneEvacuation, JobsStartInAZoneInService)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.SubmitAndAssign("a");
  zone.RunFor(Seconds(5));
  EXPECT_EQ(zone.Calls("start"), 1U);
  EXPECT_EQ(zone.Job("a").state, model::JobState::kRunning);
}

// A job that was assigned before the evacuation must not start in the zone. It
// must be returned to the control leader, and it must not end.
TEST(ZoneEvacuation, QueuedJobIsReturned)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.RunFor(Seconds(6));
  zone.SubmitAndAssign("a");
  zone.Order(true);
  zone.RunFor(Seconds(5));
  EXPECT_EQ(zone.Calls("prepare"), 0U);
  EXPECT_EQ(zone.Job("a").state, model::JobState::kQueued);
  EXPECT_TRUE(zone.Job("a").zone.empty());
  EXPECT_EQ(zone.Job("a").reason, "zone_evacuated");
  zone.Order(false);
  zone.Assign("a");
  zone.RunFor(Seconds(5));
  EXPECT_EQ(zone.Calls("start"), 1U);
}

// An active run must continue, and its job must stay assigned to the zone.
TEST(ZoneEvacuation, ActiveRunContinues)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.SubmitAndAssign("a");
  zone.RunFor(Seconds(5));
  ASSERT_EQ(zone.Calls("start"), 1U);
  zone.Order(true);
  zone.RunFor(Seconds(30));
  EXPECT_EQ(zone.Calls("stop"), 0U);
  EXPECT_EQ(zone.Calls("release"), 0U);
  EXPECT_EQ(zone.Job("a").zone, ZoneId("sogn"));
}

// A new authority does not know yet whether the jobs of its predecessor still
// run. If it returned such a job before the worker has announced the task, the
// job would run a second time in another zone.
TEST(ZoneEvacuation, RunOfAnEarlierAuthorityContinues)
{
  Zone zone;
  zone.SubmitAndAssign("a");
  zone.RecordStart("a");
  zone.Order(true);
  zone.Elect();
  zone.RunFor(Seconds(10));
  EXPECT_EQ(zone.Job("a").zone, ZoneId("sogn"));
  zone.runningJob = "a";
  zone.workerAnnounced = true;
  zone.RunFor(Seconds(60));
  EXPECT_EQ(zone.Job("a").zone, ZoneId("sogn"));
  EXPECT_EQ(zone.Calls("stop"), 0U);
}

// An authority that has not heard of the evacuation proposes a start, which is
// refused. The job must not start, must not end as cancelled, and must be
// returned.
TEST(ZoneEvacuation, JobWhoseStartIsRefusedIsReturned)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.RunFor(Seconds(6));
  zone.tellsEvacuation = false;
  zone.SubmitAndAssign("a");
  zone.Order(true);
  zone.RunFor(Seconds(5));
  EXPECT_GT(zone.Calls("prepare"), 0U);
  EXPECT_EQ(zone.Calls("start"), 0U);
  EXPECT_EQ(zone.Job("a").state, model::JobState::kQueued);
  EXPECT_TRUE(zone.Job("a").zone.empty());
}

// A start that is refused after its attempt was abandoned must not prevent the
// return of the job from a later evacuation.
TEST(ZoneEvacuation, JobIsReturnedFromEachEvacuation)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.RunFor(Seconds(6));
  zone.holdProposals = true;
  zone.SubmitAndAssign("a");
  zone.RunFor(Millis(1500));
  ASSERT_EQ(zone.Calls("prepare"), 1U);
  zone.Order(true);
  zone.SendReply(0);
  // The job is returned after the delay of a retry, before the held start is
  // answered.
  zone.RunFor(Millis(2500));
  EXPECT_EQ(zone.Calls("release"), 1U);
  zone.holdProposals = false;
  zone.RunFor(Seconds(3));
  EXPECT_TRUE(zone.Job("a").zone.empty());
  zone.Order(false);
  zone.Assign("a");
  zone.Order(true);
  zone.RunFor(Seconds(5));
  EXPECT_TRUE(zone.Job("a").zone.empty());
  EXPECT_EQ(zone.Job("a").state, model::JobState::kQueued);
  EXPECT_EQ(zone.Calls("start"), 0U);
}

// While it is cut off, an authority starts jobs again without a commit. It must
// not do so in a zone that it knows to be evacuated.
TEST(ZoneEvacuation, CutOffAuthorityStartsNothing)
{
  for (bool evacuate : { false, true }) {
    Zone zone;
    zone.workerAnnounced = true;
    zone.Elect();
    zone.SubmitAndAssign("a");
    zone.RunFor(Seconds(5));
    ASSERT_EQ(zone.Calls("start"), 1U);
    if (evacuate) {
      zone.Order(true);
      zone.SendReply(0);
    }
    zone.leaderReachable = false;
    zone.RunFor(Seconds(15));
    // The worker restarts without its task. The job avoids it for a minute.
    zone.workerIncarnation = 2;
    zone.RunFor(Seconds(120));
    EXPECT_EQ(zone.Calls("start"), evacuate ? 1U : 2U);
  }
}

// Guards against a job that starts again although it runs: the starts that an
// authority executed while cut off must not be dropped when the leader commits
// the report of them without applying it.
TEST(ZoneEvents, AreReportedUntilTheLeaderAcceptsThem)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.SubmitAndAssign("a");
  zone.RunFor(Seconds(5));
  ASSERT_EQ(zone.Job("a").attempt, Attempt(1));
  zone.leaderReachable = false;
  zone.RunFor(Seconds(15));
  // The worker restarts without its task. The job avoids it for a minute.
  zone.workerIncarnation = 2;
  zone.RunFor(Seconds(120));
  ASSERT_EQ(zone.Calls("start"), 2U);
  zone.Drain();
  zone.rejectReason = "undecodable_command";
  zone.leaderReachable = true;
  zone.RunFor(Seconds(5));
  ASSERT_EQ(zone.Job("a").attempt, Attempt(1));
  zone.rejectReason = "";
  zone.RunFor(Seconds(5));
  EXPECT_EQ(zone.Job("a").attempt, Attempt(2));
}

// After its election, an authority must not start the jobs of a message that
// may have been sent before the election, nor those of a leader that may not
// have applied an evacuation yet.
TEST(ZoneEvacuation, NothingStartsBeforeContactWithTheLeader)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.leaderReachable = false;
  zone.Elect();
  zone.SubmitAndAssign("a");
  zone.SendReply(0);
  zone.SendReply(1000);
  zone.RunFor(Seconds(20));
  EXPECT_EQ(zone.Calls("prepare"), 0U);
  zone.stateIncomplete = true;
  zone.leaderReachable = true;
  zone.RunFor(Seconds(20));
  EXPECT_EQ(zone.Calls("prepare"), 0U);
  zone.stateIncomplete = false;
  zone.RunFor(Seconds(5));
  EXPECT_EQ(zone.Calls("start"), 1U);
}

// The guarantees of an evacuated zone must be provided by the other ones. The
// zone's only live worker holds its own shape but not also that of the other
// zone, which the authority reports.
TEST(ZoneEvacuation, GuaranteesMoveToTheRemainingZone)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.RunFor(Seconds(30));
  EXPECT_EQ(zone.Alarms(), 0U);
  zone.Order(true, "voss");
  zone.RunFor(Seconds(30));
  EXPECT_EQ(zone.Alarms(), 1U);
  zone.Order(false, "voss");
  zone.RunFor(Seconds(30));
  EXPECT_EQ(zone.Alarms(), 0U);
}

// A message of an earlier leader that arrives late must not end an evacuation.
TEST(ZoneEvacuation, LateMessageDoesNotEndIt)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.RunFor(Seconds(6));
  zone.Order(true);
  zone.RunFor(Seconds(2));
  zone.tellsEvacuation = false;
  zone.SendEvacuatedZones(zone.state.EvacuationIndex() - 1);
  // The instance does not hear of the restoration, which is needed only for the
  // assignment.
  zone.Order(false);
  zone.SubmitAndAssign("a");
  zone.RunFor(Seconds(5));
  EXPECT_EQ(zone.Calls("prepare"), 0U);
}

// The operator's client must get an acknowledgement for each copy of an order,
// and the zone must be evacuated when it has one.
TEST(ZoneOrders, AreAcknowledgedWhenCommitted)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  std::string body = R"({"zone":"sogn","by":"ada"})";
  ApiAnswer answer = zone.Call("POST", "/v1/zones/evacuate", body, "k1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(zone.state.EvacuatedZones().at(ZoneId("sogn")).by, "ada");
  answer = zone.Call("POST", "/v1/zones/evacuate", body, "k1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(json::parse(answer.body).at("repeated").get<bool>());
  EXPECT_EQ(zone.Call("POST", "/v1/zones/restore", body, "k2").status, 200);
  EXPECT_TRUE(zone.state.EvacuatedZones().empty());
}

// An order must not be acknowledged while no leader commits it.
TEST(ZoneOrders, AreNotAcknowledgedWithoutALeader)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  zone.leaderReachable = false;
  zone.RunFor(Seconds(15));
  ApiAnswer answer = zone.Call(
    "POST", "/v1/zones/evacuate", R"({"zone":"sogn","by":"ada"})", "k1");
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.body.find("not_run"), std::string::npos);
}

// A mistyped zone must not look evacuated.
TEST(ZoneOrders, UnknownZoneIsNotFound)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  EXPECT_EQ(
    zone
      .Call(
        "POST", "/v1/zones/evacuate", R"({"zone":"bergen","by":"ada"})", "k1")
      .status,
    404);
}

// During an upgrade, a leader of an earlier version does not know the command.
// The zone must not be reported as unknown, so that the order is sent again.
TEST(ZoneOrders, CommandUnknownToTheLeaderIsNoUnknownZone)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  zone.rejectReason = "unknown_command";
  ApiAnswer answer = zone.Call(
    "POST", "/v1/zones/evacuate", R"({"zone":"sogn","by":"ada"})", "k1");
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.body.find("not_run"), std::string::npos);
}

// Guards against an operator who relies on a fence that the leader did not
// apply: the zone's jobs would wait for it, and it would not be sent again.
TEST(ZoneOrders, FenceThatTheLeaderRejectsIsNotAcknowledged)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  zone.rejectReason = "unknown_command";
  ApiAnswer answer =
    zone.Call("POST", "/v1/zones/fence", R"({"zone":"voss"})", "k1");
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.body.find("not_run"), std::string::npos);
  zone.rejectReason = "";
  answer = zone.Call("POST", "/v1/zones/fence", R"({"zone":"voss"})", "k1");
  EXPECT_EQ(answer.status, 200);
}

const char*
PathOfOrder(bool aEvacuate)
{
  return aEvacuate ? "/v1/zones/evacuate" : "/v1/zones/restore";
}

// Guards against an order that waited unread at this instance while its caller
// gave the opposite one elsewhere, and that then undoes it.
TEST(ZoneOrders, OneThatWaitedWhileAnotherWasGivenIsRefused)
{
  for (bool evacuate : { false, true }) {
    Zone zone;
    zone.RunFor(Seconds(1));
    zone.Order(true);
    zone.Order(!evacuate);
    zone.RunFor(Seconds(5));
    std::string body = R"({"zone":"sogn","by":"ada"})";
    ApiAnswer answer =
      zone.CallThatWaited(Seconds(6), "POST", PathOfOrder(evacuate), body, "k");
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("order_may_be_outdated"), std::string::npos);
    EXPECT_EQ(zone.state.EvacuatedZones().contains(ZoneId("sogn")), !evacuate);
    // A caller that still waits sends it again.
    answer = zone.Call("POST", PathOfOrder(evacuate), body, "k");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(zone.state.EvacuatedZones().contains(ZoneId("sogn")), evacuate);
  }
}

// Guards against an order that is refused although it has just arrived, because
// this instance does not know of the zone's latest order yet.
TEST(ZoneOrders, OneThatHasJustArrivedIsAccepted)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  zone.tellsEvacuation = false;
  zone.Order(true);
  zone.RunFor(Seconds(1));
  ApiAnswer answer = zone.Call(
    "POST", "/v1/zones/restore", R"({"zone":"sogn","by":"ada"})", "k");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(zone.state.EvacuatedZones().empty());
}

// Guards against a fence that waited unread until its zone was up again: the
// zone's jobs would run twice.
TEST(ZoneOrders, FenceThatWaitedIsRefused)
{
  Zone zone;
  zone.workerAnnounced = true;
  zone.Elect();
  zone.SubmitAndAssign("a");
  std::string body = R"({"zone":"sogn"})";
  ApiAnswer answer =
    zone.CallThatWaited(Seconds(2), "POST", "/v1/zones/fence", body, "k");
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.body.find("order_may_be_outdated"), std::string::npos);
  EXPECT_EQ(zone.Job("a").zone, ZoneId("sogn"));
  answer = zone.Call("POST", "/v1/zones/fence", body, "k");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(zone.Job("a").zone.empty());
}

// Guards against a drain that waited unread while the instance was drained
// through another one and started anew.
TEST(ZoneOrders, DrainThatWaitedIsRefused)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  std::string body = R"({"instance":"i-sogn"})";
  ApiAnswer answer =
    zone.CallThatWaited(Seconds(2), "POST", "/v1/instances/drain", body);
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.body.find("order_may_be_outdated"), std::string::npos);
  EXPECT_EQ(zone.drains, 0);
  EXPECT_EQ(zone.Call("POST", "/v1/instances/drain", body).status, 200);
  EXPECT_EQ(zone.drains, 1);
}

// The operator must see every fault of a malformed order at once, and a wrong
// method must not be taken for an order.
TEST(ZoneOrders, EveryFaultIsListed)
{
  Zone zone;
  zone.RunFor(Seconds(1));
  ApiAnswer answer = zone.Call(
    "POST", "/v1/zones/evacuate", R"({"zone":7,"by":"","since":1})", "");
  EXPECT_EQ(answer.status, 400);
  std::vector<std::string> paths;
  json body = json::parse(answer.body);
  for (const json& it : body.at("faults")) {
    paths.push_back(it.at("path"));
  }
  std::vector<std::string> expected{
    "/zone", "/by", "/since", "/headers/Limpetwood-Idempotency-Key"
  };
  EXPECT_EQ(paths, expected);
  for (const char* malformed : { "", "[]", "{", "\xff", R"("sogn")" }) {
    EXPECT_EQ(zone.Call("POST", "/v1/zones/restore", malformed, "k").status,
              400);
  }
  EXPECT_EQ(zone.Call("PUT", "/v1/zones/evacuate", "", "k").status, 405);
  EXPECT_EQ(zone.Call("GET", "/v1/zones/restore", "", "k").status, 405);
}

} // namespace
} // namespace limpetwood::daemon
