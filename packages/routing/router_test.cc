// Guards the behaviour of the facade on a single instance.

#include "routing/router.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace limpetwood::routing {
namespace {

// A released slot must go to the waiting request, or the queue stands still.
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

// One instance with servers of eight slots, driven in virtual time. The test
// says how each attempt ends.
class ServedRouter
{
public:
  using Conduct = std::function<AttemptOutcome(const ServerId&)>;

  explicit ServedRouter(const std::vector<std::string>& aServers)
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

  // Sends `aRequests` requests from `aCallers` callers who send the next one
  // as soon as the last one has ended.
  void Run(int aRequests, int aCallers, const Conduct& aConduct)
  {
    int sent = 0;
    int open = 0;
    auto take = [&](Effects aEffects) {
      for (const Grant& it : aEffects.grants) {
        AttemptOutcome outcome = aConduct(it.server->id);
        mAttempts.emplace(mNow + outcome.latency,
                          Attempt{ it.request, it.attempt, outcome });
      }
      for (const Ended& it : aEffects.endedRequests) {
        --open;
        ++ended[it.reason];
        longest = std::max(longest, mNow - mSentAt[it.request]);
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
        take(mRouter.Admit(info, mNow));
      }
      while (!mAttempts.empty() && mAttempts.begin()->first <= mNow) {
        Attempt it = mAttempts.extract(mAttempts.begin()).mapped();
        take(mRouter.AttemptEnded(it.request, it.number, it.outcome, mNow));
      }
      mNow = mNow + Millis(1);
      if (mNow.Count() % 100 == 0) {
        AnnounceAll();
      }
      take(mRouter.Tick(mNow));
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

  // Requests by their reason, and the longest time to an end.
  std::map<Reason, int> ended;
  Millis longest;

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
                         .connections = 60 },
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
Ends(AttemptResult aResult, Millis aLatency, bool aServerError = false)
{
  AttemptOutcome outcome;
  outcome.result = aResult;
  outcome.latency = aLatency;
  outcome.serverError = aServerError;
  return outcome;
}

const AttemptOutcome kAnswer = Ends(AttemptResult::kAnswered, Millis(4));
const AttemptOutcome kErrorAnswer =
  Ends(AttemptResult::kAnswered, Millis(4), true);
const AttemptOutcome kRefusedConnection =
  Ends(AttemptResult::kNotSent, Millis(0));

// A server whose connections are refused looks idle. It must not attract most
// requests when so many servers are ejected that it may not be.
TEST(Router, DeadServerThatMayNotBeEjectedGetsFewRequests)
{
  ServedRouter bed({ "s1", "s2", "s3", "s4" });
  bed.Run(100, 30, [](const ServerId& aServer) {
    return aServer.Value() == "s3" ? kErrorAnswer : kAnswer;
  });
  ASSERT_TRUE(bed.IsEjected("s3"));
  bed.ended.clear();
  bed.Run(1500, 34, [](const ServerId& aServer) {
    bool dead = aServer.Value() == "s1" || aServer.Value() == "s2";
    return dead ? kRefusedConnection : kAnswer;
  });
  EXPECT_GT(bed.ended[Reason::kNone], 1400);
}

// A request that every usable server has failed ends at once, instead of
// waiting until an ejected server may be tried again.
TEST(Router, RequestDoesNotWaitForAnEjectedServer)
{
  ServedRouter bed({ "s1", "s2" });
  bed.Run(100, 10, [](const ServerId& aServer) {
    return aServer.Value() == "s1" ? kRefusedConnection : kAnswer;
  });
  ASSERT_TRUE(bed.IsEjected("s1"));
  bed.ended.clear();
  bed.longest = {};
  int failures = 0;
  bed.Run(20, 1, [&](const ServerId& aServer) {
    bool fails = aServer.Value() == "s1" || ++failures % 10 == 0;
    return fails ? Ends(AttemptResult::kConnectionLost, Millis(1)) : kAnswer;
  });
  EXPECT_EQ(bed.ended[Reason::kAttemptsExhausted], 2);
  EXPECT_LT(bed.longest, Millis(100));
}

} // namespace
} // namespace limpetwood::routing
