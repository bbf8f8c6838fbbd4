// The simulated backend servers: announcements, choice of the home instance,
// and faults.

#include "routing/simulation.h"

#include <limits>

namespace limpetwood::routing {

uint32_t
Simulation::IndexOf(const ServerId& aServer) const
{
  return mServerIndex.at(aServer.Value());
}

void
Simulation::ChooseHome(uint32_t aServer)
{
  Server& server = mServers[aServer];
  uint32_t best = server.home;
  uint64_t bestRank = 0;
  for (uint32_t n = 0; n < mInstances.size(); ++n) {
    if (n == server.home || !CanReach(mInstances[n], server)) {
      continue;
    }
    uint64_t rank =
      mRandom() / 4 + (mInstances[n].zone == server.zone
                         ? std::numeric_limits<uint64_t>::max() / 2
                         : 0);
    if (rank > bestRank) {
      bestRank = rank;
      best = n;
    }
  }
  if (best != server.home) {
    server.home = best;
    server.homeSince = mNow;
    ++mCounts.homeChanges;
  }
}

void
Simulation::Announce(uint32_t aServer, bool aChangeHome)
{
  Server& server = mServers[aServer];
  if (!server.up) {
    return;
  }
  if (aChangeHome) {
    ChooseHome(aServer);
  }
  uint64_t number = ++server.lastAnnouncement;
  ServerAnnouncement message;
  message.server = server.id;
  message.service = mOptions.service.id;
  message.zone = server.zone;
  message.address = "127.0.0.1:" + std::to_string(1000 + aServer);
  message.incarnation = server.incarnation;
  message.slots = mOptions.slots;
  message.connections = mOptions.connections;
  message.busy = static_cast<uint32_t>(server.running.size());
  message.leaving = server.leavingSince.has_value();
  uint32_t home = server.home;
  At(mNow + Delay(), [this, aServer, home, message, number] {
    if (!CanReach(mInstances[home], mServers[aServer]) ||
        mServers[aServer].notHeardBy == home) {
      return;
    }
    AnnounceResult answer = mInstances[home].router->Announce(message, mNow);
    ApplyEffects(home, answer.effects);
    At(mNow + Delay(), [this, aServer, home, number, answer] {
      Server& self = mServers[aServer];
      if (CanReach(mInstances[home], self)) {
        self.lastAnswered = std::max(self.lastAnswered, number);
        At(mNow + answer.renewAfter, [this, aServer, number] {
          if (mServers[aServer].lastAnnouncement == number) {
            Announce(aServer, false);
          }
        });
      }
    });
  });
  // A server whose announcement is not answered within 1 s announces itself to
  // another instance.
  At(mNow + Seconds(1), [this, aServer, number] {
    Server& self = mServers[aServer];
    if (self.lastAnnouncement == number && self.lastAnswered != number) {
      Announce(aServer, true);
    }
  });
}

void
Simulation::StopServer(uint32_t aServer)
{
  Server& server = mServers[aServer];
  server.up = false;
  std::erase_if(mConnections,
                [&](const auto& it) { return it.first.first == aServer; });
  server.inTransit.clear();
  for (uint64_t id : server.running) {
    At(mNow + Delay(), [this, id, attempt = mCalls[id].attempt] {
      if (attempt != 0) {
        EndAttempt(id, attempt, { AttemptResult::kConnectionLost, Millis(1) });
      }
    });
  }
  server.running.clear();
}

void
Simulation::StartServer(uint32_t aServer)
{
  Server& server = mServers[aServer];
  if (server.up && !server.leavingSince) {
    return;
  }
  server.up = true;
  server.stalled = false;
  server.running.clear();
  server.inTransit.clear();
  server.leavingSince.reset();
  server.incarnation = server.incarnation.Next();
  Announce(aServer, false);
}

void
Simulation::BlockAnnouncements(uint32_t aServer, bool aBlocked)
{
  Server& server = mServers[aServer];
  server.notHeardBy.reset();
  if (aBlocked) {
    server.notHeardBy = server.home;
  }
}

void
Simulation::LeaveServer(uint32_t aServer)
{
  mServers[aServer].leavingSince = mNow;
}

} // namespace limpetwood::routing
