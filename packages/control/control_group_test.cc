// Tests what the control leader tells instances about evacuated zones, with one
// replica and without a network.

#include "control/control_group.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>

namespace limpetwood::control {
namespace {

using nlohmann::json;

// Guarantees five of the eight workers, so that no zone alone is enough.
constexpr const char* kDocument = R"({"zones":["a","b"],"racks":[
  {"id":"r1","zone":"a","workers":4,"acceleratorsPerWorker":8,
   "coresPerWorker":64,"memoryMbPerWorker":100000},
  {"id":"r2","zone":"b","workers":4,"acceleratorsPerWorker":8,
   "coresPerWorker":64,"memoryMbPerWorker":100000}],
  "workspaces":[{"id":"w","guarantees":[
    {"shape":{"accelerators":8,"closeness":"worker"},"count":5}],
    "quota":{"accelerators":64,"jobs":10,"requests":10}}],
  "services":[]})";

class ControlGroupTest
  : public testing::Test
  , private ControlGroupEnvironment
{
protected:
  void SetUp() override
  {
    mFolder = (std::filesystem::temp_directory_path() / "control-group-test-")
                .string() +
              std::to_string(WallNow().Count()) + "-" +
              testing::UnitTest::GetInstance()->current_test_info()->name();
    Start();
    gen::SubmitConfiguration submit;
    submit.document = kDocument;
    gen::Command command;
    command.__set_submitConfiguration(submit);
    EXPECT_TRUE(Propose(command).accepted);
  }

  void TearDown() override
  {
    mGroup.reset();
    std::filesystem::remove_all(mFolder);
  }

  // Starts the replica with the data of its last run, and waits until it leads.
  void Start()
  {
    mGroup.reset();
    ControlGroupOptions options;
    options.group.self = InstanceId("l");
    options.group.folder = mFolder;
    options.group.voters = { InstanceId("l") };
    options.instances = {
      { InstanceId("l"), ZoneId("a"), "127.0.0.1:1", "127.0.0.1:2", true },
      { InstanceId("i"), ZoneId("b"), "127.0.0.1:3", "127.0.0.1:4", false }
    };
    auto opened = ControlGroup::Open(options, *this);
    ASSERT_TRUE(opened.Ok());
    mGroup = std::move(opened).Value();
    for (int n = 0; n < 200 && !mGroup->IsLeading(); ++n) {
      RunFor(Millis(100));
    }
    ASSERT_TRUE(mGroup->IsLeading());
  }

  void RunFor(Millis aTime)
  {
    for (Millis end = mNow + aTime; mNow < end; mNow += Millis(50)) {
      mGroup->Tick(mNow);
    }
  }

  gen::CommandResult Propose(const gen::Command& aCommand)
  {
    gen::Propose propose;
    propose.id = 1;
    propose.command = Encode(aCommand);
    gen::ControlMessage message;
    message.__set_propose(propose);
    mGroup->OnControl(InstanceId("x"), message, mNow);
    RunFor(Millis(200));
    auto found = std::find_if(mSent.rbegin(), mSent.rend(), [](const auto& it) {
      return it.second.__isset.proposeReply;
    });
    return found == mSent.rend() ? gen::CommandResult()
                                 : found->second.proposeReply.result;
  }

  void Order(bool aEvacuate, const char* aZone)
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
    EXPECT_TRUE(Propose(command).accepted);
  }

  void SendHeartbeat()
  {
    gen::Heartbeat heartbeat;
    heartbeat.instance = "i";
    heartbeat.zone = "b";
    heartbeat.incarnation = 1;
    heartbeat.sentAtMs = 7;
    gen::ControlMessage message;
    message.__set_heartbeat(heartbeat);
    mGroup->OnControl(InstanceId("i"), message, mNow);
  }

  // The last message to the instance; it must be a heartbeat reply.
  gen::HeartbeatReply LastReply() const
  {
    auto found = std::find_if(mSent.rbegin(), mSent.rend(), [](const auto& it) {
      return it.first == InstanceId("i") && it.second.__isset.heartbeatReply;
    });
    EXPECT_NE(found, mSent.rend());
    return found == mSent.rend() ? gen::HeartbeatReply()
                                 : found->second.heartbeatReply;
  }

  std::vector<std::string> Alarms()
  {
    gen::Query query;
    query.id = 2;
    query.target = "/v1/alarms";
    gen::ControlMessage message;
    message.__set_query(query);
    mGroup->OnControl(InstanceId("x"), message, mNow);
    RunFor(Millis(200));
    std::vector<std::string> reasons;
    json body = json::parse(mSent.back().second.queryReply.body);
    for (const json& it : body.at("alarms")) {
      reasons.push_back(it.at("reason"));
    }
    return reasons;
  }

  long Logged(const char* aEvent) const
  {
    return std::count(mLogged.begin(), mLogged.end(), aEvent);
  }

  Millis mNow{ 1000 };
  std::vector<std::pair<InstanceId, gen::ControlMessage>> mSent;
  std::vector<std::string> mLogged;
  std::unique_ptr<ControlGroup> mGroup;

private:
  void SendReplication(const InstanceId&, std::string) override {}
  void SendControl(const InstanceId& aTo,
                   const gen::ControlMessage& aMessage) override
  {
    mSent.emplace_back(aTo, aMessage);
  }
  void Log(const LogEvent& aEvent) override
  {
    mLogged.push_back(
      json::parse("{" + aEvent.JsonMembers() + "}").at("event"));
  }

  std::string mFolder;
};

// Instances must not wait for their next heartbeat, which may be seconds away,
// to hear of an evacuation. Before the first one, replies stay as they were.
TEST_F(ControlGroupTest, EvacuationIsPushedToInstances)
{
  SendHeartbeat();
  EXPECT_FALSE(LastReply().__isset.evacuated);
  EXPECT_FALSE(LastReply().__isset.stateIncomplete);
  Order(true, "b");
  gen::HeartbeatReply reply = LastReply();
  EXPECT_EQ(reply.sentAtMs, 0);
  EXPECT_EQ(reply.evacuated.zones, std::vector<std::string>{ "b" });
  int64_t index = reply.evacuated.index;
  EXPECT_GT(index, 0);
  SendHeartbeat();
  EXPECT_EQ(LastReply().sentAtMs, 7);
  EXPECT_EQ(LastReply().evacuated.zones, std::vector<std::string>{ "b" });
  Order(false, "b");
  EXPECT_TRUE(LastReply().evacuated.zones.empty());
  EXPECT_GT(LastReply().evacuated.index, index);
}

// An acknowledged evacuation must survive a restart of the replica, and the
// restart must not count or log the order a second time.
TEST_F(ControlGroupTest, EvacuationSurvivesARestart)
{
  Order(true, "b");
  EXPECT_EQ(Logged("zone_evacuated"), 1);
  EXPECT_EQ(mGroup->Counters().zonesEvacuated, 1U);
  Start();
  RunFor(Millis(500));
  SendHeartbeat();
  EXPECT_EQ(LastReply().evacuated.zones, std::vector<std::string>{ "b" });
  EXPECT_FALSE(LastReply().__isset.stateIncomplete);
  EXPECT_EQ(Logged("zone_evacuated"), 1);
  EXPECT_EQ(mGroup->Counters().zonesEvacuated, 0U);
}

// The operators must learn that an evacuation breaks guarantees, and that its
// end restores them.
TEST_F(ControlGroupTest, AlarmForBrokenGuarantees)
{
  EXPECT_TRUE(Alarms().empty());
  Order(true, "a");
  EXPECT_EQ(Alarms(),
            std::vector<std::string>{ "zone_evacuation_breaks_guarantees" });
  EXPECT_EQ(Logged("alarm"), 1);
  Order(false, "a");
  EXPECT_TRUE(Alarms().empty());
  EXPECT_EQ(Logged("alarm_ended"), 1);
}

} // namespace
} // namespace limpetwood::control
