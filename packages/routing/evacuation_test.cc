// Tests that requests avoid the backend servers of evacuated zones while
// another zone has a server of the service.

#include "routing/router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::routing {
namespace {

// Routers of instances "a", "b" and "c" in zones of the same names, in virtual
// time. Messages arrive at once. Every attempt is answered after 20 ms.
class Routers
{
public:
  explicit Routers(const std::vector<std::string>& aInstances)
  {
    RoutingConfig config;
    config.version = ConfigVersion(1);
    config.services.push_back({ .id = ServiceId("s") });
    config.workspaces.push_back({ .id = WorkspaceId("w") });
    for (const std::string& it : aInstances) {
      config.instances.push_back({ InstanceId(it), ZoneId(it) });
    }
    uint64_t seed = 0;
    for (const std::string& it : aInstances) {
      mRouters.emplace(
        it, Router(RouterOptions{}, InstanceId(it), ZoneId(it), ++seed));
      Execute(it, mRouters.at(it).ConfigurationChanged(config, mNow));
    }
  }

  // Adds a server of one slot whose home is an instance.
  void AddServer(const std::string& aHome,
                 const std::string& aServer,
                 const std::string& aZone)
  {
    mServers[aServer] = { .server = ServerId(aServer),
                          .service = ServiceId("s"),
                          .zone = ZoneId(aZone),
                          .address = "127.0.0.1:1",
                          .incarnation = Incarnation(1),
                          .slots = 1,
                          .connections = 60 };
    mHomes[aServer] = aHome;
  }
  void Leave(const std::string& aServer) { mServers[aServer].leaving = true; }

  // Tells an instance which zones are evacuated, as the control leader does.
  void Evacuate(const std::string& aInstance,
                uint64_t aIndex,
                const std::set<ZoneId>& aZones)
  {
    Execute(aInstance,
            mRouters.at(aInstance).SetEvacuatedZones({ aIndex, aZones }, mNow));
  }

  void RunFor(Millis aTime)
  {
    for (Millis end = mNow + aTime; mNow < end; mNow += Millis(10)) {
      for (const auto& [id, server] : mServers) {
        if (mNow.Count() % 100 == 0) {
          const std::string& home = mHomes[id];
          Execute(home, mRouters.at(home).Announce(server, mNow).effects);
        }
      }
      while (!mAttempts.empty() && mAttempts.begin()->first <= mNow) {
        Attempt it = mAttempts.extract(mAttempts.begin()).mapped();
        AttemptOutcome outcome;
        outcome.latency = Millis(20);
        Execute(it.instance,
                mRouters.at(it.instance)
                  .AttemptEnded(it.request, it.number, outcome, mNow));
      }
      for (auto& [id, router] : mRouters) {
        Execute(id, router.Tick(mNow));
      }
    }
  }

  // Sends requests at an instance, `aAtOnce` every 100 ms.
  void Request(const std::string& aInstance, int aRounds, int aAtOnce)
  {
    for (int n = 0; n < aRounds; ++n) {
      for (int i = 0; i < aAtOnce; ++i) {
        RequestInfo info{ .id = RequestId(++mLastRequest),
                          .workspace = WorkspaceId("w"),
                          .service = ServiceId("s") };
        Execute(aInstance, mRouters.at(aInstance).Admit(info, mNow));
      }
      RunFor(Millis(100));
    }
  }

  // Passes a message to an instance and returns the effects.
  Effects Receive(const std::string& aTo,
                  const std::string& aFrom,
                  const PeerMessage& aMessage)
  {
    return mRouters.at(aTo).PeerMessageReceived(
      InstanceId(aFrom), aMessage, mNow);
  }

  // Borrow requests by the instance that was asked.
  std::map<std::string, int> borrowRequests;
  int answered = 0;
  int refused = 0;
  // Attempts by the zone of the server.
  std::map<std::string, int> attempts;

private:
  struct Attempt
  {
    std::string instance;
    RequestId request;
    uint32_t number = 0;
  };

  void Execute(const std::string& aInstance, const Effects& aEffects)
  {
    for (const Grant& it : aEffects.grants) {
      ++attempts[it.server->zone.Value()];
      mAttempts.emplace(mNow + Millis(20),
                        Attempt{ aInstance, it.request, it.attempt });
    }
    for (const RequestEnd& it : aEffects.endedRequests) {
      ++(it.verdict == Verdict::kAnswered ? answered : refused);
    }
    for (const SendToPeer& it : aEffects.messages) {
      const std::string& to = it.to.Value();
      borrowRequests[to] +=
        std::holds_alternative<BorrowRequest>(it.message) ? 1 : 0;
      if (mRouters.contains(to)) {
        Execute(to,
                mRouters.at(to).PeerMessageReceived(
                  InstanceId(aInstance), it.message, mNow));
      }
    }
  }

  Millis mNow{ 0 };
  std::map<std::string, Router> mRouters;
  std::map<std::string, ServerAnnouncement> mServers;
  std::map<std::string, std::string> mHomes;
  std::multimap<Millis, Attempt> mAttempts;
  uint64_t mLastRequest = 0;
};

const std::set<ZoneId> kZoneA{ ZoneId("a") };

// An instance must not use its own servers in an evacuated zone while it has
// one in another zone, and must use them again after the restoration.
TEST(ZoneEvacuation, OwnServerInAnotherZoneIsUsed)
{
  Routers routers({ "a" });
  routers.AddServer("a", "s1", "a");
  routers.AddServer("a", "s2", "b");
  routers.RunFor(Seconds(3));
  routers.Request("a", 5, 1);
  EXPECT_EQ(routers.attempts["a"], 5);
  routers.Evacuate("a", 1, kZoneA);
  // More requests at once than the remaining server has slots.
  routers.Request("a", 5, 3);
  EXPECT_EQ(routers.attempts["a"], 5);
  EXPECT_EQ(routers.attempts["b"], 15);
  routers.Evacuate("a", 2, {});
  routers.Request("a", 5, 1);
  EXPECT_EQ(routers.attempts["a"], 10);
  EXPECT_EQ(routers.answered, 25);
}

// A service whose only servers are in the evacuated zone must go on answering,
// and again when the last server elsewhere leaves.
TEST(ZoneEvacuation, OnlyServersAreUsed)
{
  Routers routers({ "a" });
  routers.AddServer("a", "s1", "a");
  routers.RunFor(Seconds(3));
  routers.Evacuate("a", 1, kZoneA);
  routers.Request("a", 5, 1);
  EXPECT_EQ(routers.answered, 5);
  routers.AddServer("a", "s2", "b");
  routers.RunFor(Seconds(3));
  routers.Request("a", 5, 1);
  EXPECT_EQ(routers.attempts["a"], 5);
  EXPECT_EQ(routers.attempts["b"], 5);
  routers.Leave("s2");
  routers.RunFor(Seconds(1));
  routers.Request("a", 5, 1);
  EXPECT_EQ(routers.attempts["a"], 10);
  EXPECT_EQ(routers.refused, 0);
}

// An instance of the evacuated zone that is cut off from the control leader
// must learn of the evacuation from another instance, and must send its
// requests to the servers of the other zone.
TEST(ZoneEvacuation, OtherInstancesTellOfIt)
{
  Routers routers({ "a", "b" });
  routers.AddServer("a", "s1", "a");
  routers.AddServer("b", "s2", "b");
  routers.RunFor(Seconds(3));
  routers.Request("a", 5, 1);
  EXPECT_EQ(routers.attempts["a"], 5);
  routers.Evacuate("b", 1, kZoneA);
  routers.Request("a", 20, 1);
  EXPECT_EQ(routers.attempts["a"], 5);
  EXPECT_EQ(routers.attempts["b"], 20);
  EXPECT_EQ(routers.answered, 25);
}

// An instance without servers must borrow no slots in the evacuated zone, and
// must not use a slot that it has borrowed there for another request.
TEST(ZoneEvacuation, SlotsOfOtherInstancesAreAvoided)
{
  Routers routers({ "a", "b", "c" });
  routers.AddServer("a", "s1", "a");
  routers.AddServer("b", "s2", "b");
  routers.RunFor(Seconds(3));
  routers.Request("c", 10, 4);
  EXPECT_GT(routers.attempts["a"], 0);
  // Requests are queued when the evacuation takes effect, so that the slots
  // borrowed before would be used again.
  routers.Request("c", 1, 40);
  int before = routers.attempts["a"];
  routers.Evacuate("c", 1, kZoneA);
  routers.RunFor(Seconds(3));
  routers.Request("c", 10, 4);
  EXPECT_EQ(routers.attempts["a"], before);
  EXPECT_EQ(routers.answered, 120);
}

// Instances must not ask for slots in the evacuated zone, also if the others
// are saturated. An instance that has not heard of the evacuation must be told
// at once that there are no slots, and not wait for its time limit.
TEST(ZoneEvacuation, NoSlotsAreRequestedThere)
{
  Routers routers({ "a", "b", "c" });
  routers.AddServer("a", "s1", "a");
  routers.AddServer("b", "s2", "b");
  routers.RunFor(Seconds(3));
  routers.Request("c", 10, 8);
  EXPECT_GT(routers.borrowRequests["a"], 0);
  routers.Evacuate("c", 1, kZoneA);
  routers.RunFor(Seconds(3));
  routers.borrowRequests.clear();
  routers.Request("c", 10, 8);
  EXPECT_EQ(routers.borrowRequests["a"], 0);
  EXPECT_GT(routers.borrowRequests["b"], 0);
  Effects effects = routers.Receive(
    "a", "c", BorrowRequest{ LeaseId(1'000'000), 1, ServiceId("s"), {} });
  ASSERT_EQ(effects.messages.size(), 1U);
  EXPECT_TRUE(
    std::get<BorrowReply>(effects.messages[0].message).leases.empty());
}

// A message that arrives late must not end an evacuation.
TEST(ZoneEvacuation, OlderStateIsIgnored)
{
  Routers routers({ "a" });
  routers.AddServer("a", "s1", "a");
  routers.AddServer("a", "s2", "b");
  routers.RunFor(Seconds(3));
  routers.Evacuate("a", 7, kZoneA);
  routers.Evacuate("a", 6, {});
  routers.Request("a", 5, 1);
  EXPECT_EQ(routers.attempts["a"], 0);
}

} // namespace
} // namespace limpetwood::routing
