// The stand-in backend servers of the simulation: announcements and faults.

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
    if (n == server.home || !Reaches(mInstances[n], server)) {
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
Simulation::Announce(uint32_t aServer, bool aAgain)
{
  Server& server = mServers[aServer];
  if (!server.up) {
    return;
  }
  if (aAgain) {
    ChooseHome(aServer);
  }
  uint64_t number = ++server.announcement;
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
    if (!Reaches(mInstances[home], mServers[aServer]) ||
        mServers[aServer].unheardBy == home) {
      return;
    }
    AnnounceResult answer = mInstances[home].router->Announce(message, mNow);
    Carry(home, answer.effects);
    At(mNow + Delay(), [this, aServer, home, number, answer] {
      Server& self = mServers[aServer];
      if (Reaches(mInstances[home], self)) {
        self.answered = std::max(self.answered, number);
        At(mNow + answer.renewAfter, [this, aServer, number] {
          if (mServers[aServer].announcement == number) {
            Announce(aServer, false);
          }
        });
      }
    });
  });
  // After an unanswered announcement it turns to another instance.
  At(mNow + Seconds(1), [this, aServer, number] {
    Server& self = mServers[aServer];
    if (self.announcement == number && self.answered != number) {
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
  server.coming.clear();
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
  server.coming.clear();
  server.leavingSince.reset();
  server.incarnation = server.incarnation.Next();
  Announce(aServer, false);
}

void
Simulation::LoseAnnouncements(uint32_t aServer, bool aLost)
{
  Server& server = mServers[aServer];
  server.unheardBy.reset();
  if (aLost) {
    server.unheardBy = server.home;
  }
}

void
Simulation::LeaveServer(uint32_t aServer)
{
  mServers[aServer].leavingSince = mNow;
}

} // namespace limpetwood::routing
