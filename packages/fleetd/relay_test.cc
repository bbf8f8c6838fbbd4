// Guards leader discovery and forwarding: a leader that is not among the seeds
// is found, requests survive a change of leader, and a state-changing request
// with an unanswered attempt is never reported as not executed.

#include "fleetd/relay.h"

#include "http/server.h"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <chrono>

namespace limpetwood::fleetd {
namespace {

using fleet::RequestKind;
using fleet::RequestOutcome;
namespace gen = fleet::gen;

// An instance that listens on a loopback address.
class FakeInstance
{
public:
  enum class Role
  {
    kLeader,
    kFollower,
    // Answers pings but no requests.
    kSilent,
    // Answers nothing.
    kSuspended,
  };

  FakeInstance(boost::asio::io_context& aContext, std::string aAddress)
    : mContext(aContext)
    , mAddress(std::move(aAddress))
    , mServer(
        aContext,
        {},
        [this](const http::Request& aRequest, const http::Responder& aRespond) {
          Serve(aRequest, aRespond);
        })
  {
  }

  uint16_t Listen(uint16_t aPort)
  {
    return mServer.Listen({ mAddress, aPort }).Value().port;
  }

  void Close() { mServer.Close(); }

  // Answers all requests that got no answer so far.
  void AnswerHeldRequests()
  {
    for (const http::Responder& it : std::exchange(mUnansweredRequests, {})) {
      Answer(false, it);
    }
  }

  const std::string& Address() const { return mAddress; }

  Role role = Role::kFollower;
  // Role reported to pings, if it differs from `role`.
  std::optional<Role> pingRole;
  // Outcome of requests while the instance leads.
  RequestOutcome outcome = RequestOutcome::kOk;
  // The leader named in replies.
  std::string leader;
  // Requests received, except pings.
  int requestCount = 0;
  // While the instance leads, it does not answer every n-th request; 0 if it
  // answers all.
  int dropEvery = 0;
  // Answers requests with bytes that are no reply.
  bool garbled = false;
  // Time until a request is answered.
  Millis answerDelay{};
  // Highest number of requests that waited for their answer at the same time.
  int maxConcurrent = 0;
  gen::Limits limits;

private:
  void Serve(const http::Request& aRequest, const http::Responder& aRespond)
  {
    auto request = fleet::Decode<gen::Request>(aRequest.body).Value();
    bool ping = request.kind == static_cast<int32_t>(RequestKind::kPing);
    requestCount += ping ? 0 : 1;
    if (role == Role::kSuspended) {
      mUnansweredRequests.push_back(aRespond);
      return;
    }
    bool dropped = dropEvery > 0 && requestCount % dropEvery == 0;
    if ((role == Role::kSilent || dropped) && !ping) {
      mUnansweredRequests.push_back(aRespond);
      return;
    }
    if (ping || answerDelay == Millis(0)) {
      Answer(ping, aRespond);
      return;
    }
    maxConcurrent = std::max(maxConcurrent, ++mConcurrent);
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mContext, std::chrono::milliseconds(answerDelay.Count()));
    timer->async_wait([this, timer, aRespond](auto) {
      --mConcurrent;
      Answer(false, aRespond);
    });
  }

  void Answer(bool aPing, const http::Responder& aRespond)
  {
    if (garbled && !aPing) {
      http::Response response;
      response.body = "?";
      aRespond(response);
      return;
    }
    bool ping = aPing;
    Role reportedRole = ping ? pingRole.value_or(role) : role;
    RequestOutcome leaderOutcome = ping ? RequestOutcome::kOk : outcome;
    gen::Reply reply;
    reply.outcome = static_cast<int32_t>(reportedRole == Role::kFollower
                                           ? RequestOutcome::kNotLeader
                                           : leaderOutcome);
    reply.leader = leader;
    reply.members = { "127.0.0.1", "127.0.0.2", "127.0.0.3" };
    reply.__set_limits(limits);
    http::Response response;
    response.body = fleet::Encode(reply);
    aRespond(response);
  }

  boost::asio::io_context& mContext;
  const std::string mAddress;
  http::Server mServer;
  int mConcurrent = 0;
  std::vector<http::Responder> mUnansweredRequests;
};

class RelayTest : public testing::Test
{
protected:
  void SetUp() override
  {
    mOptions.port = mOne.Listen(0);
    mTwo.Listen(mOptions.port);
    mThree.Listen(mOptions.port);
    mOptions.pingInterval = Millis(40);
    mOptions.pingTimeout = Millis(100);
    mOptions.maxLeaderSilence = Millis(120);
    mOptions.attemptTimeout = Millis(150);
    mOptions.leaderWaitTimeout = Millis(400);
    mOptions.outageThreshold = Millis(600);
    CreateRelay();
  }

  // Replaces the relay by one with the current `mOptions`.
  void CreateRelay()
  {
    mRelay = std::make_unique<Relay>(
      mContext, mOptions, [this](const LogEvent& aEvent) {
        mLog += aEvent.JsonMembers() + "\n";
      });
  }

  void Run(Millis aTime)
  {
    mContext.run_for(std::chrono::milliseconds(aTime.Count()));
    mContext.restart();
  }

  RelayResult Call(Millis aTime = Millis(1500),
                   RequestKind aKind = RequestKind::kSubmit)
  {
    gen::Request request;
    request.kind = static_cast<int32_t>(aKind);
    request.path = "/q/00000000000000a1";
    std::optional<RelayResult> result;
    mRelay->Call(request, MonotonicNow() + aTime, [&](RelayResult aResult) {
      result = std::move(aResult);
      mContext.stop();
    });
    if (!result) {
      Run(aTime + Millis(200));
    }
    EXPECT_TRUE(result);
    return result.value_or(RelayResult{});
  }

  // Sends a request whose outcome is added to `mOutcomes`.
  void StartCall(RequestKind aKind, Millis aTime)
  {
    gen::Request request;
    request.kind = static_cast<int32_t>(aKind);
    mRelay->Call(
      request, MonotonicNow() + aTime, [this](const RelayResult& aResult) {
        mOutcomes.push_back(OutcomeOf(aResult));
      });
  }

  // Calls `aAction` after `aDelay`, in the order of all timers of the context.
  void After(Millis aDelay, std::function<void()> aAction)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mContext, std::chrono::milliseconds(aDelay.Count()));
    timer->async_wait([timer, aAction = std::move(aAction)](auto ec) {
      if (!ec) {
        aAction();
      }
    });
  }

  static RequestOutcome OutcomeOf(const RelayResult& aResult)
  {
    return static_cast<RequestOutcome>(aResult.reply.outcome);
  }

  boost::asio::io_context mContext{ 1 };
  FakeInstance mOne{ mContext, "127.0.0.1" };
  FakeInstance mTwo{ mContext, "127.0.0.2" };
  FakeInstance mThree{ mContext, "127.0.0.3" };
  std::string mLog;
  RelayOptions mOptions;
  std::unique_ptr<Relay> mRelay;
  std::vector<RequestOutcome> mOutcomes;
};

TEST_F(RelayTest, FindsALeaderThatIsNoSeed)
{
  mThree.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(300));
  RelayResult result = Call();
  EXPECT_EQ(OutcomeOf(result), RequestOutcome::kOk);
  EXPECT_EQ(result.leader, "127.0.0.3");
  EXPECT_EQ(result.attempts, 1U);
  EXPECT_EQ(mThree.requestCount, 1);
}

TEST_F(RelayTest, RequestIsRetriedAtTheNewLeader)
{
  mOne.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  mOne.role = FakeInstance::Role::kFollower;
  mOne.leader = "127.0.0.2";
  mTwo.role = FakeInstance::Role::kLeader;
  RelayResult result = Call();
  EXPECT_EQ(OutcomeOf(result), RequestOutcome::kOk);
  EXPECT_EQ(result.leader, "127.0.0.2");
  EXPECT_EQ(result.attempts, 2U);
  EXPECT_EQ(mRelay->Counters().retriesNotLeader, 1U);
  EXPECT_NE(mLog.find("\"event\":\"attempt_failed\""), std::string::npos);
}

TEST_F(RelayTest, UnansweredAttemptIsNeverReportedAsNotRun)
{
  mOne.role = FakeInstance::Role::kSilent;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  ASSERT_TRUE(mRelay->HasLeader());
  RelayResult result = Call(Millis(700));
  EXPECT_EQ(OutcomeOf(result), RequestOutcome::kMayHaveRun);
  EXPECT_GE(mOne.requestCount, 1);
  EXPECT_GE(mRelay->Counters().retriesNoAnswer, 1U);
}

// Guards against a request that waits for an unresponsive former leader until
// its attempt times out, although a new leader is known.
TEST_F(RelayTest, RequestInFlightIsResentToTheNewLeader)
{
  mOptions.attemptTimeout = Seconds(5);
  CreateRelay();
  mOne.role = FakeInstance::Role::kSilent;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  ASSERT_TRUE(mRelay->HasLeader());
  boost::asio::steady_timer electionTimer(mContext,
                                          std::chrono::milliseconds(200));
  electionTimer.async_wait([this](auto) {
    mOne.pingRole = FakeInstance::Role::kFollower;
    mTwo.role = FakeInstance::Role::kLeader;
  });
  Millis startTime = MonotonicNow();
  RelayResult result = Call();
  EXPECT_EQ(OutcomeOf(result), RequestOutcome::kOk);
  EXPECT_EQ(result.leader, "127.0.0.2");
  EXPECT_LT(MonotonicNow() - startTime, Millis(800));
  EXPECT_EQ(mRelay->Counters().retriesLeaderChanged, 1U);
}

// The former leader may have executed the first attempt even if the new leader
// refuses the second one.
TEST_F(RelayTest, RefusalByTheNewLeaderIsNotReportedAsNotRun)
{
  mOptions.attemptTimeout = Seconds(5);
  CreateRelay();
  mOne.role = FakeInstance::Role::kSilent;
  mTwo.outcome = RequestOutcome::kRejected;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  boost::asio::steady_timer electionTimer(mContext,
                                          std::chrono::milliseconds(200));
  electionTimer.async_wait([this](auto) {
    mOne.pingRole = FakeInstance::Role::kFollower;
    mTwo.role = FakeInstance::Role::kLeader;
  });
  EXPECT_EQ(OutcomeOf(Call()), RequestOutcome::kMayHaveRun);
}

// An unanswered read is reported as not executed, so that callers may retry it.
TEST_F(RelayTest, UnansweredReadIsReportedAsNotRun)
{
  mOne.role = FakeInstance::Role::kSilent;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  RelayResult result = Call(Millis(700), RequestKind::kRead);
  EXPECT_EQ(OutcomeOf(result), RequestOutcome::kUnavailable);
  EXPECT_GE(mOne.requestCount, 1);
}

// Without recent contact with a leader, waiting for an election would only
// delay the refusal.
TEST_F(RelayTest, RequestDuringAnOutageIsRefusedAtOnce)
{
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(20));
  Millis startTime = MonotonicNow();
  RelayResult result = Call();
  EXPECT_EQ(OutcomeOf(result), RequestOutcome::kUnavailable);
  EXPECT_EQ(result.attempts, 0U);
  EXPECT_LT(MonotonicNow() - startTime, Millis(100));
  EXPECT_EQ(mRelay->Counters().refusedNoLeader, 1U);
}

TEST_F(RelayTest, RequestWaitsForANewLeaderDuringAnElection)
{
  mOne.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  mOne.Close();
  boost::asio::steady_timer electionTimer(mContext,
                                          std::chrono::milliseconds(200));
  electionTimer.async_wait(
    [this](auto) { mTwo.role = FakeInstance::Role::kLeader; });
  RelayResult result = Call();
  EXPECT_EQ(OutcomeOf(result), RequestOutcome::kOk);
  EXPECT_EQ(mTwo.requestCount, 1);
}

// Guards against giving up a leader that works but leaves a part of the
// requests unanswered, as under a burst, and against retries that multiply the
// load on it.
TEST_F(RelayTest, LeaderThatDropsRequestsIsKeptAndNotFlooded)
{
  constexpr int kCalls = 60;
  mOne.role = FakeInstance::Role::kLeader;
  mOne.dropEvery = 2;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  int ended = 0;
  for (int n = 0; n < kCalls; ++n) {
    gen::Request request;
    request.kind = static_cast<int32_t>(RequestKind::kSubmit);
    mRelay->Call(
      request, MonotonicNow() + Millis(1500), [&](RelayResult) { ++ended; });
    Run(Millis(10));
  }
  Run(Millis(1800));
  EXPECT_EQ(ended, kCalls);
  EXPECT_EQ(mLog.find("leader_lost"), std::string::npos);
  EXPECT_LE(mOne.requestCount,
            kCalls * (1 + mOptions.retryShare) + mOptions.maxSavedRetries);
  EXPECT_GT(mRelay->Counters().waitedForBudget, 0U);
}

// Guards against taking all connections of the leader: requests above the limit
// wait, and all of them are answered.
TEST_F(RelayTest, RequestsInFlightAreBounded)
{
  mOptions.maxInFlight = 4;
  CreateRelay();
  mOne.role = FakeInstance::Role::kLeader;
  mOne.answerDelay = Millis(20);
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  int succeeded = 0;
  for (int n = 0; n < 20; ++n) {
    gen::Request request;
    request.kind = static_cast<int32_t>(RequestKind::kSubmit);
    mRelay->Call(
      request, MonotonicNow() + Seconds(2), [&](const RelayResult& aResult) {
        succeeded += OutcomeOf(aResult) == RequestOutcome::kOk;
      });
  }
  Run(Millis(1500));
  EXPECT_EQ(succeeded, 20);
  EXPECT_LE(mOne.maxConcurrent, 4);
  EXPECT_GT(mRelay->Counters().waitedForSlot, 0U);
}

// Guards against a request that ends twice, or is sent again, because an
// earlier attempt succeeds while it waits for another one.
TEST_F(RelayTest, LateSuccessEndsAWaitingRequestOnce)
{
  mOptions.attemptTimeout = Seconds(5);
  CreateRelay();
  mOne.role = FakeInstance::Role::kSilent;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  int ended = 0;
  gen::Request request;
  request.kind = static_cast<int32_t>(RequestKind::kSubmit);
  mRelay->Call(request, MonotonicNow() + Millis(700), [&](RelayResult aResult) {
    ++ended;
    EXPECT_EQ(OutcomeOf(aResult), RequestOutcome::kOk);
  });
  Run(Millis(20));
  // The second instance claims to lead and then refuses the request.
  mOne.pingRole = FakeInstance::Role::kFollower;
  mTwo.pingRole = FakeInstance::Role::kLeader;
  Run(Millis(150));
  EXPECT_GE(mTwo.requestCount, 1);
  mTwo.pingRole = FakeInstance::Role::kFollower;
  Run(Millis(60));
  int requestsBefore = mTwo.requestCount;
  mOne.role = FakeInstance::Role::kLeader;
  mOne.AnswerHeldRequests();
  mTwo.role = FakeInstance::Role::kLeader;
  Run(Millis(1000));
  EXPECT_EQ(ended, 1);
  EXPECT_EQ(mTwo.requestCount, requestsBefore);
}

// Guards against "not run" for a request that may have run: an answer that
// cannot be read may have reported a success.
TEST_F(RelayTest, UnreadableAnswerIsNotReportedAsNotRun)
{
  mOne.role = FakeInstance::Role::kLeader;
  mOne.garbled = true;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  EXPECT_EQ(OutcomeOf(Call(Millis(500))), RequestOutcome::kMayHaveRun);
}

// Guards against a process that exits with requests that it has read and not
// answered: those in flight, those that wait, and those that still arrive.
TEST_F(RelayTest, EndedCallsAreAnsweredAtOnce)
{
  mOptions.maxInFlight = 1;
  CreateRelay();
  mOne.role = FakeInstance::Role::kSilent;
  mOne.pingRole = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  std::vector<RequestOutcome> outcomes;
  auto call = [&] {
    gen::Request request;
    request.kind = static_cast<int32_t>(RequestKind::kSubmit);
    mRelay->Call(
      request, MonotonicNow() + Seconds(5), [&](const RelayResult& aResult) {
        outcomes.push_back(OutcomeOf(aResult));
      });
  };
  call();
  call();
  Run(Millis(60));
  ASSERT_TRUE(outcomes.empty());
  mRelay->EndCalls();
  call();
  EXPECT_EQ(outcomes,
            (std::vector{ RequestOutcome::kMayHaveRun,
                          RequestOutcome::kUnavailable,
                          RequestOutcome::kUnavailable }));
  Run(Millis(300));
  EXPECT_EQ(outcomes.size(), 3U);
}

// Guards against an instance that answers nothing and delays the discovery of
// the leader by the timeout of its ping.
TEST_F(RelayTest, SuspendedInstanceDoesNotDelayDiscovery)
{
  mOptions.pingTimeout = Seconds(10);
  CreateRelay();
  mOne.role = FakeInstance::Role::kSuspended;
  mTwo.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(500));
  EXPECT_TRUE(mRelay->HasLeader());
}

// Guards against a leader that the replica of this instance knows and the relay
// finds only with its next round of pings.
TEST_F(RelayTest, NamedLeaderIsPingedUntilItConfirms)
{
  mOptions.pingInterval = Seconds(10);
  CreateRelay();
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  // The leader has not confirmed its state yet.
  mRelay->OnLeaderNamed("127.0.0.2");
  Run(Millis(60));
  ASSERT_FALSE(mRelay->HasLeader());
  mTwo.role = FakeInstance::Role::kLeader;
  Run(Millis(1000));
  EXPECT_TRUE(mRelay->HasLeader());
}

// Guards against requests that are sent to a suspended leader until its silence
// is noticed, although another leader has been elected.
TEST_F(RelayTest, NamedLeaderReplacesASuspendedOne)
{
  mOptions.pingTimeout = Seconds(10);
  mOptions.attemptTimeout = Seconds(10);
  mOptions.maxLeaderSilence = Seconds(10);
  CreateRelay();
  mOne.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1", "127.0.0.2" });
  Run(Millis(60));
  mOne.role = FakeInstance::Role::kSuspended;
  mTwo.role = FakeInstance::Role::kLeader;
  StartCall(RequestKind::kReport, Seconds(10));
  Run(Millis(100));
  ASSERT_TRUE(mOutcomes.empty());
  mRelay->OnLeaderNamed("127.0.0.2");
  Run(Millis(500));
  EXPECT_EQ(mOutcomes, std::vector{ RequestOutcome::kOk });
}

// Guards against refusals of reports without a wait during an outage, after
// which each worker calls all instances at once, and against refusals at the
// same time.
TEST_F(RelayTest, ReportsWaitDuringAnOutageAndEndAtDifferentTimes)
{
  constexpr size_t kCalls = 40;
  mOptions.reportSpread = Millis(300);
  CreateRelay();
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(20));
  for (size_t n = 0; n < kCalls; ++n) {
    StartCall(RequestKind::kReport, Millis(600));
  }
  size_t endedEarly = 0;
  size_t endedHalfway = 0;
  size_t endedInTime = 0;
  After(Millis(290), [&] { endedEarly = mOutcomes.size(); });
  After(Millis(450), [&] { endedHalfway = mOutcomes.size(); });
  After(Millis(620), [&] { endedInTime = mOutcomes.size(); });
  Run(Millis(800));
  EXPECT_EQ(endedEarly, 0U);
  EXPECT_GT(endedHalfway, kCalls / 8);
  EXPECT_LT(endedHalfway, kCalls * 7 / 8);
  EXPECT_EQ(endedInTime, kCalls);
  EXPECT_EQ(mOutcomes, std::vector(kCalls, RequestOutcome::kUnavailable));
}

// Guards against answers that come after the caller has given up because
// waiting requests are checked only at an interval.
TEST_F(RelayTest, WaitingRequestsEndAtTheirDeadline)
{
  mOptions.reportSpread = Millis(0);
  mOptions.leaderWaitTimeout = Seconds(10);
  mOptions.outageThreshold = Seconds(10);
  CreateRelay();
  mOne.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  mOne.role = FakeInstance::Role::kFollower;
  Run(Millis(60));
  ASSERT_FALSE(mRelay->HasLeader());
  constexpr int kCalls = 30;
  int late = 0;
  for (int n = 0; n < kCalls; ++n) {
    Millis time = Millis(100 + 7 * n);
    RequestKind kind = n % 2 == 0 ? RequestKind::kReport : RequestKind::kSubmit;
    auto ended = std::make_shared<bool>(false);
    gen::Request request;
    request.kind = static_cast<int32_t>(kind);
    mRelay->Call(request, MonotonicNow() + time, [ended](const RelayResult&) {
      *ended = true;
    });
    After(time + Millis(15), [&late, ended] { late += *ended ? 0 : 1; });
  }
  Run(Millis(600));
  EXPECT_EQ(late, 0);
}

// Guards against an instance that is cut off from all others and holds the
// reports of workers, which another instance could answer.
TEST_F(RelayTest, CutOffInstanceRefusesReportsWithoutAWait)
{
  mOptions.self = "127.0.0.1";
  CreateRelay();
  mThree.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1", "127.0.0.2", "127.0.0.3" });
  Run(Millis(100));
  ASSERT_TRUE(mRelay->HasLeader());
  mTwo.role = FakeInstance::Role::kSuspended;
  mThree.role = FakeInstance::Role::kSuspended;
  Run(Millis(800));
  StartCall(RequestKind::kReport, Seconds(5));
  Run(Millis(20));
  EXPECT_EQ(mOutcomes, std::vector{ RequestOutcome::kUnavailable });
}

// Guards against a report that is refused early during an election, in which
// the other instances answer that they do not lead.
TEST_F(RelayTest, ReportWaitsWhileOtherInstancesAnswer)
{
  mOptions.self = "127.0.0.1";
  CreateRelay();
  mThree.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1", "127.0.0.2", "127.0.0.3" });
  Run(Millis(100));
  mThree.role = FakeInstance::Role::kSuspended;
  Run(Millis(800));
  StartCall(RequestKind::kReport, Seconds(5));
  Run(Millis(100));
  ASSERT_TRUE(mOutcomes.empty());
  mTwo.role = FakeInstance::Role::kLeader;
  Run(Millis(300));
  EXPECT_EQ(mOutcomes, std::vector{ RequestOutcome::kOk });
}

// Guards against requests of callers and operators that wait for the reports of
// all workers after an election.
TEST_F(RelayTest, OtherRequestsPrecedeReports)
{
  constexpr size_t kReports = 200;
  constexpr int kOthers = 20;
  mOptions.maxInFlight = 4;
  CreateRelay();
  mOne.role = FakeInstance::Role::kLeader;
  mOne.answerDelay = Millis(5);
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  for (size_t n = 0; n < kReports; ++n) {
    StartCall(RequestKind::kReport, Seconds(5));
  }
  int succeeded = 0;
  size_t reportsBefore = 0;
  for (int n = 0; n < kOthers; ++n) {
    gen::Request request;
    request.kind = static_cast<int32_t>(n % 2 == 0 ? RequestKind::kSubmit
                                                   : RequestKind::kRead);
    mRelay->Call(
      request, MonotonicNow() + Seconds(5), [&](const RelayResult& aResult) {
        succeeded += OutcomeOf(aResult) == RequestOutcome::kOk;
        reportsBefore = mOutcomes.size();
      });
  }
  Run(Millis(2500));
  EXPECT_EQ(succeeded, kOthers);
  EXPECT_LE(reportsBefore, kReports / 8);
  EXPECT_EQ(mOutcomes, std::vector(kReports, RequestOutcome::kOk));
}

// Guards against reports that take all connections to a leader that is slow to
// answer them.
TEST_F(RelayTest, ReportsLeaveConnectionsToOtherRequests)
{
  mOptions.maxInFlight = 8;
  mOptions.attemptTimeout = Seconds(5);
  CreateRelay();
  mOne.role = FakeInstance::Role::kSilent;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  for (int n = 0; n < 20; ++n) {
    StartCall(RequestKind::kReport, Seconds(2));
  }
  Run(Millis(100));
  EXPECT_EQ(mOne.requestCount, 6);
  StartCall(RequestKind::kSubmit, Seconds(2));
  Run(Millis(100));
  EXPECT_EQ(mOne.requestCount, 7);
}

// Guards against reports that wait for the budget of retries because their
// leader refused all of them while its leader lease had lapsed.
TEST_F(RelayTest, ReportsRefusedDuringALapseAreResent)
{
  constexpr size_t kReports = 200;
  mOptions.retryShare = 0;
  CreateRelay();
  mOne.role = FakeInstance::Role::kLeader;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(60));
  mOne.answerDelay = Millis(20);
  for (size_t n = 0; n < kReports; ++n) {
    StartCall(RequestKind::kReport, Seconds(2));
  }
  mOne.role = FakeInstance::Role::kFollower;
  Run(Millis(100));
  mOne.role = FakeInstance::Role::kLeader;
  Run(Millis(1500));
  EXPECT_EQ(mOutcomes, std::vector(kReports, RequestOutcome::kOk));
}

// Guards against a callback for each ping reply instead of for each change.
TEST_F(RelayTest, ReportsChangedLimitsOnce)
{
  int changes = 0;
  mRelay->SetLimitsCallback([&](const gen::Limits& aLimits) {
    ++changes;
    EXPECT_EQ(aLimits.headerBytes, 4096);
  });
  mOne.role = FakeInstance::Role::kLeader;
  mOne.limits.headerBytes = 4096;
  mRelay->Start({ "127.0.0.1" });
  Run(Millis(200));
  EXPECT_EQ(changes, 1);
}

} // namespace
} // namespace limpetwood::fleetd
