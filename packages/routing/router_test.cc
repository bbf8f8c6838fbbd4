// Tests the public interface of the router on a single instance.

#include "routing/router.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::routing {
namespace {

// Guards against a stalled queue: the slot of an ended attempt must be granted
// to the waiting request.
TEST(Router, EndedAttemptFreesItsSlot)
{
  Router router({}, InstanceId("a"), ZoneId("z"), 1);
  RoutingConfig config;
  config.version = ConfigVersion(1);
  config.services.push_back({ .id = ServiceId("s") });
  config.workspaces.push_back({ .id = WorkspaceId("w") });
  config.instances.push_back({ InstanceId("a"), ZoneId("z") });
  router.ConfigurationChanged(config, Millis(0));
  ServerAnnouncement server{ .server = ServerId("b1"),
                             .service = ServiceId("s"),
                             .zone = ZoneId("z"),
                             .address = "127.0.0.1:1",
                             .incarnation = Incarnation(1),
                             .slots = 1,
                             .connections = 60 };
  router.Announce(server, Millis(0));
  // 2.05 s is after the takeover wait of a home instance, `leaseDuration` of 2
  // s.
  router.Announce(server, Millis(2050));
  router.Tick(Millis(2050));
  RequestInfo info{ .id = RequestId(1),
                    .workspace = WorkspaceId("w"),
                    .service = ServiceId("s") };
  EXPECT_EQ(router.Admit(info, Millis(2050)).grants.size(), 1U);
  info.id = RequestId(2);
  EXPECT_TRUE(router.Admit(info, Millis(2051)).grants.empty());
  Effects effects =
    router.AttemptEnded(RequestId(1), 1, AttemptOutcome{}, Millis(2052));
  ASSERT_EQ(effects.endedRequests.size(), 1U);
  EXPECT_EQ(effects.endedRequests[0].verdict, Verdict::kAnswered);
  ASSERT_EQ(effects.grants.size(), 1U);
  EXPECT_EQ(effects.grants[0].request, RequestId(2));
}

// Runs one router in virtual time with servers of eight slots. The test
// determines the outcome of each attempt.
class RouterDriver
{
public:
  using AttemptBehavior = std::function<AttemptOutcome(const ServerId&)>;

  explicit RouterDriver(const std::vector<std::string>& aServers)
    : mServers(aServers)
    , mRouter(Options(), InstanceId("a"), ZoneId("z"), 1)
  {
    RoutingConfig config;
    config.version = ConfigVersion(1);
    config.services.push_back({ .id = ServiceId("s") });
    config.workspaces.push_back({ .id = WorkspaceId("w") });
    config.instances.push_back({ InstanceId("a"), ZoneId("z") });
    mRouter.ConfigurationChanged(config, mNow);
    AnnounceAll();
  }

  // Sends `aRequests` requests from `aCallers` callers. Each caller sends the
  // next request when the previous one has ended.
  void Run(int aRequests, int aCallers, const AttemptBehavior& aBehavior)
  {
    int sent = 0;
    int open = 0;
    auto applyEffects = [&](Effects aEffects) {
      for (const Grant& it : aEffects.grants) {
        AttemptOutcome outcome = aBehavior(it.server->id);
        mAttempts.emplace(mNow + outcome.latency,
                          Attempt{ it.request, it.attempt, outcome });
      }
      for (const RequestEnd& it : aEffects.endedRequests) {
        --open;
        ++endsByReason[it.reason];
        ends.push_back(it);
        longestLatency = std::max(longestLatency, mNow - mSentAt[it.request]);
      }
    };
    while (sent < aRequests || open > 0) {
      while (open < aCallers && sent < aRequests) {
        RequestInfo info{ .id = RequestId(++mLastId),
                          .workspace = WorkspaceId("w"),
                          .service = ServiceId("s") };
        mSentAt[info.id] = mNow;
        ++sent;
        ++open;
        applyEffects(mRouter.Admit(info, mNow));
      }
      while (!mAttempts.empty() && mAttempts.begin()->first <= mNow) {
        Attempt it = mAttempts.extract(mAttempts.begin()).mapped();
        applyEffects(
          mRouter.AttemptEnded(it.request, it.number, it.outcome, mNow));
      }
      mNow = mNow + Millis(1);
      if (mNow.Count() % 100 == 0) {
        AnnounceAll();
      }
      applyEffects(mRouter.Tick(mNow));
    }
  }

  bool IsEjected(const std::string& aServer) const
  {
    for (const ServerView& it : mRouter.Servers(mNow)) {
      if (it.identity.id.Value() == aServer) {
        return it.ejected;
      }
    }
    return false;
  }

  // Number of ended requests by reason, and the longest time from admission to
  // end.
  std::map<Reason, int> endsByReason;
  Millis longestLatency;
  // Servers that announce that they are leaving.
  std::set<std::string> leavingServers;
  std::vector<RequestEnd> ends;

private:
  struct Attempt
  {
    RequestId request;
    uint32_t number = 0;
    AttemptOutcome outcome;
  };

  static RouterOptions Options()
  {
    RouterOptions options;
    options.testOnly.skipHomeWait = true;
    return options;
  }

  void AnnounceAll()
  {
    for (const std::string& it : mServers) {
      mRouter.Announce({ .server = ServerId(it),
                         .service = ServiceId("s"),
                         .zone = ZoneId("z"),
                         .address = "127.0.0.1:1",
                         .incarnation = Incarnation(1),
                         .slots = 8,
                         .connections = 60,
                         .leaving = leavingServers.contains(it) },
                       mNow);
    }
  }

  const std::vector<std::string> mServers;
  Millis mNow{ 1000 };
  Router mRouter;
  uint64_t mLastId = 0;
  std::map<RequestId, Millis> mSentAt;
  std::multimap<Millis, Attempt> mAttempts;
};

AttemptOutcome
MakeOutcome(AttemptResult aResult, Millis aLatency, bool aServerError = false)
{
  AttemptOutcome outcome;
  outcome.result = aResult;
  outcome.latency = aLatency;
  outcome.serverError = aServerError;
  return outcome;
}

const AttemptOutcome kAnsweredOutcome =
  MakeOutcome(AttemptResult::kAnswered, Millis(4));
const AttemptOutcome kServerErrorOutcome =
  MakeOutcome(AttemptResult::kAnswered, Millis(4), true);
const AttemptOutcome kNotSentOutcome =
  MakeOutcome(AttemptResult::kNotSent, Millis(0));

// A server that refuses connections appears idle. Guards against such a server
// attracting most requests while the ejection limit forbids ejecting it.
TEST(Router, DeadServerThatMayNotBeEjectedGetsFewRequests)
{
  RouterDriver driver({ "s1", "s2", "s3", "s4" });
  driver.Run(100, 30, [](const ServerId& aServer) {
    return aServer.Value() == "s3" ? kServerErrorOutcome : kAnsweredOutcome;
  });
  ASSERT_TRUE(driver.IsEjected("s3"));
  driver.endsByReason.clear();
  // More callers than the 24 slots of the three servers that are not ejected.
  driver.Run(1500, 34, [](const ServerId& aServer) {
    bool refuses = aServer.Value() == "s1" || aServer.Value() == "s2";
    return refuses ? kNotSentOutcome : kAnsweredOutcome;
  });
  // Nearly all of the 1500 requests succeed.
  EXPECT_GT(driver.endsByReason[Reason::kNone], 1400);
}

// Guards against requests that wait for the end of an ejection: a request that
// has failed on every usable server must end immediately.
TEST(Router, RequestDoesNotWaitForAnEjectedServer)
{
  RouterDriver driver({ "s1", "s2" });
  driver.Run(100, 10, [](const ServerId& aServer) {
    return aServer.Value() == "s1" ? kNotSentOutcome : kAnsweredOutcome;
  });
  ASSERT_TRUE(driver.IsEjected("s1"));
  driver.endsByReason.clear();
  driver.longestLatency = {};
  int failures = 0;
  driver.Run(20, 1, [&](const ServerId& aServer) {
    bool fails = aServer.Value() == "s1" || ++failures % 10 == 0;
    return fails ? MakeOutcome(AttemptResult::kConnectionLost, Millis(1))
                 : kAnsweredOutcome;
  });
  // Every tenth attempt on s2 fails, so 2 of the 20 requests have failed on
  // every usable server.
  EXPECT_EQ(driver.endsByReason[Reason::kAttemptsExhausted], 2);
  EXPECT_LT(driver.longestLatency, Millis(100));
}

// Guards against a request that takes down one server after another: the second
// connection that breaks without an answer ends it.
TEST(Router, RequestThatLostTwoServersIsNotRetried)
{
  RouterDriver driver({ "s1", "s2", "s3", "s4" });
  driver.Run(100, 10, [](const ServerId&) { return kAnsweredOutcome; });
  driver.ends.clear();
  std::vector<ServerId> tried;
  driver.Run(1, 1, [&](const ServerId& aServer) {
    tried.push_back(aServer);
    return MakeOutcome(AttemptResult::kConnectionLost, Millis(1));
  });
  EXPECT_EQ(tried.size(), 2U);
  ASSERT_EQ(driver.ends.size(), 1U);
  const RequestEnd& end = driver.ends.front();
  EXPECT_EQ(end.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(end.reason, Reason::kServersLost);
  ASSERT_EQ(end.lostServers.size(), 2U);
  EXPECT_EQ(end.lostServers[0]->id, tried[0]);
  EXPECT_EQ(end.lostServers[1]->id, tried[1]);
}

// Guards against giving up a request early for failures that do not indicate a
// crash.
TEST(Router, OtherFailuresAreRetriedAsOften)
{
  for (AttemptResult result : { AttemptResult::kNotSent,
                                AttemptResult::kServerRefused,
                                AttemptResult::kTimedOut }) {
    RouterDriver driver({ "s1", "s2", "s3", "s4" });
    driver.Run(100, 10, [](const ServerId&) { return kAnsweredOutcome; });
    int attempts = 0;
    driver.Run(1, 1, [&](const ServerId&) {
      return ++attempts < 3 ? MakeOutcome(result, Millis(1)) : kAnsweredOutcome;
    });
    EXPECT_EQ(driver.endsByReason[Reason::kNone], 101);
  }
}

// Guards against counting the connections that leaving servers close as
// crashes.
TEST(Router, LostConnectionOfALeavingServerIsNotACrash)
{
  RouterDriver driver({ "s1", "s2", "s3", "s4" });
  driver.Run(100, 10, [](const ServerId&) { return kAnsweredOutcome; });
  driver.Run(1, 1, [&](const ServerId& aServer) {
    if (driver.leavingServers.size() == 2) {
      return kAnsweredOutcome;
    }
    // Longer than the 100 ms between announcements.
    driver.leavingServers.insert(aServer.Value());
    return MakeOutcome(AttemptResult::kConnectionLost, Millis(150));
  });
  EXPECT_EQ(driver.endsByReason[Reason::kNone], 101);
}

} // namespace
} // namespace limpetwood::routing
