// Tests that the verdicts of requests to the control leader are correct and
// that an unresponsive leader is replaced.

#include "daemon/leader_client.h"

#include <gtest/gtest.h>

#include <optional>

namespace limpetwood::daemon {
namespace {

namespace gen = control::gen;

class LeaderClientTest : public testing::Test
{
protected:
  void Propose(Millis aNow)
  {
    mClient.Propose(
      "command", aNow, [this](ProposeAnswer aAnswer) { mAnswer = aAnswer; });
  }

  int64_t LastId() const { return mSent.back().second.propose.id; }

  void RefuseAsFollower(const char* aFrom, const char* aLeader, Millis aNow)
  {
    gen::NotLeader answer;
    answer.leader = aLeader;
    answer.__set_requestId(LastId());
    mClient.OnNotLeader(InstanceId(aFrom), answer, aNow);
  }

  std::vector<std::pair<std::string, gen::ControlMessage>> mSent;
  std::optional<ProposeAnswer> mAnswer;
  LeaderClient mClient{ { InstanceId("a"), InstanceId("b") },
                        1,
                        Seconds(1),
                        [this](const InstanceId& aTo,
                               const gen::ControlMessage& aMessage) {
                          mSent.emplace_back(aTo.Value(), aMessage);
                        } };
};

// A follower refuses a request without executing it, so the request must be
// sent to the leader that the follower names.
TEST_F(LeaderClientTest, RefusalOfAFollowerIsFollowedByARetry)
{
  Propose(Millis(0));
  RefuseAsFollower("a", "b", Millis(10));
  mClient.Tick(Millis(200));
  ASSERT_EQ(mSent.size(), 2U);
  EXPECT_EQ(mSent[1].first, "b");
  EXPECT_FALSE(mAnswer);
}

// A request without a reply may have been committed. Resending it could run it
// twice, and the verdict "not run" could be false.
TEST_F(LeaderClientTest, RequestWithoutReplyMayHaveRun)
{
  Propose(Millis(0));
  for (int n = 0; n < 60; ++n) {
    mClient.Tick(Millis(n * 100));
  }
  ASSERT_TRUE(mAnswer);
  EXPECT_EQ(mAnswer->verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(mSent.size(), 1U);
}

// A request that was only refused has not run; "may have run" would keep the
// caller from repeating it.
TEST_F(LeaderClientTest, RequestThatWasOnlyRefusedHasNotRun)
{
  Propose(Millis(0));
  for (int n = 0; n < 60; ++n) {
    Millis now(n * 100);
    mClient.Tick(now);
    if (!mAnswer) {
      RefuseAsFollower(mSent.back().first.c_str(), "", now);
    }
  }
  ASSERT_TRUE(mAnswer);
  EXPECT_EQ(mAnswer->verdict, Verdict::kNotRun);
}

// Without contact to a leader for `kContactTimeout`, a request must be refused
// unsent, so that its verdict is "not run".
TEST_F(LeaderClientTest, CutOffClientRefusesAtOnce)
{
  mClient.OnLeaderMessage(InstanceId("a"), Millis(0));
  Propose(LeaderClient::kContactTimeout);
  ASSERT_TRUE(mAnswer);
  EXPECT_EQ(mAnswer->verdict, Verdict::kNotRun);
  EXPECT_EQ(mAnswer->reason, "no_quorum");
  EXPECT_TRUE(mSent.empty());
}

// An unresponsive leader must be given up within three heartbeat intervals, so
// that its successor is found before the recovery of a zone authority ends.
TEST_F(LeaderClientTest, SilentLeaderIsReplacedWithinThreeHeartbeats)
{
  mClient.OnLeaderMessage(InstanceId("a"), Millis(0));
  for (int n = 0; n <= 30; ++n) {
    mClient.Tick(Millis(n * 100));
  }
  EXPECT_EQ(mClient.Target(), InstanceId("b"));
}

// A reply must end a command only if it comes from the replica that the command
// was last sent to.
TEST_F(LeaderClientTest, AnswerOfAnotherReplicaIsIgnored)
{
  Propose(Millis(0));
  gen::ProposeReply reply;
  reply.id = LastId();
  reply.verdict = static_cast<int32_t>(Verdict::kAnswered);
  mClient.OnProposeReply(InstanceId("b"), reply, Millis(10));
  EXPECT_FALSE(mAnswer);
  mClient.OnProposeReply(InstanceId("a"), reply, Millis(20));
  EXPECT_TRUE(mAnswer);
}

} // namespace
} // namespace limpetwood::daemon
