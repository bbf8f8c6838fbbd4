// The backend servers whose home is this instance.
//
// A server stays known for the time to live after its last announcement. A
// server that announced that it is leaving, or one of an earlier incarnation,
// does not come back: its incarnation is remembered for a while after it is
// gone, so that a late announcement does not revive it.

#pragma once

#include "base/random.h"
#include "routing/announcement.h"
#include "routing/connection_budget.h"
#include "routing/options.h"
#include "routing/request.h"
#include "routing/server_health.h"
#include "routing/server_pool.h"
#include "routing/slot_ledger.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace limpetwood::routing {

struct HomeServer
{
  HomeServer(const ServerAnnouncement& aFrom, ServerRef aRef, Millis aNow)
    : identity(std::move(aRef))
    , ledger(aFrom.slots, aFrom.busy)
    , connections(aFrom.connections, aFrom.slots)
    , health(aNow)
    , renewed(aNow)
  {
  }

  ServerRef identity{};
  SlotLedger ledger;
  ConnectionBudget connections;
  ServerHealth health;
  Millis renewed;
  // Grants nothing before: a former home instance may still do so. What that
  // one started last is only known from a report after this time.
  Millis settlesAt{};
  bool settled = false;
  uint32_t service = 0;
  bool leaving = false;
};

class ServerTable
{
public:
  ServerTable(const RouterOptions& aOptions, ZoneId aZone);

  // What one call changed in the set of servers.
  struct Change
  {
    AnnounceStatus status = AnnounceStatus::kAccepted;
    std::optional<ServerIndex> server{};
    bool added = false;
    bool leftNow = false;
    // Of an earlier incarnation, which is gone.
    std::vector<LentLease> ended{};
    ServerRef replaced{};
  };

  // `aService` numbers the service; numbers are dense.
  Change Announce(const ServerAnnouncement& aAnnouncement,
                  uint32_t aService,
                  Millis aNow);

  // Ends what is due: servers, lent leases, ejections and waits. The servers
  // that are gone are returned; `aEnded` receives the ended leases.
  std::vector<ServerRef> Expire(Millis aNow, std::vector<LentLease>& aEnded);

  // Another instance is the home of this incarnation now.
  ServerRef Claimed(const ServerId& aServer,
                    Incarnation aIncarnation,
                    Millis aNow,
                    std::vector<LentLease>& aEnded);

  // An own attempt on the best server, which must not be among `aTried`.
  std::optional<ServerIndex> TakeOwn(uint32_t aService,
                                     const std::vector<ServerRef>& aTried,
                                     Millis aNow,
                                     Random& aRandom);

  std::optional<ServerIndex> Lend(uint32_t aService,
                                  const std::vector<ServerId>& aExclude,
                                  const InstanceId& aBorrower,
                                  LeaseId aLease,
                                  Millis aNow,
                                  Random& aRandom);

  // False, without effect, if the server is gone or has been replaced.
  bool ReleaseOwn(ServerIndex aServer,
                  const ServerRef& aIdentity,
                  Millis aBegan,
                  const AttemptOutcome& aOutcome,
                  Millis aNow);
  void Renew(ServerIndex aServer,
             const InstanceId& aBorrower,
             LeaseId aLease,
             Millis aNow);
  void Return(ServerIndex aServer,
              const InstanceId& aBorrower,
              const ReturnedLease& aLease,
              Millis aNow);

  // Precondition: the server is present.
  const HomeServer& At(ServerIndex aServer) const { return *mServers[aServer]; }

  std::vector<const HomeServer*> All() const;
  // When this server should announce itself again.
  Millis RenewAfter(ServerIndex aServer, Millis aNow) const;

  // Accept new work, now or after their wait; and their free slots.
  struct Capacity
  {
    uint32_t servers = 0;
    // For own attempts, in use or free.
    uint32_t slots = 0;
    uint32_t freeSlots = 0;
  };
  // By number of the service; `aCapacities` has an element for each.
  void Capacities(std::vector<Capacity>& aCapacities) const;

  // Some server may take an attempt now.
  bool HasCandidate(uint32_t aService) const
  {
    return aService < mPools.size() && !mPools[aService].Empty();
  }
  // Some server is known that does not leave, even if it is ejected.
  bool HasServers(uint32_t aService) const;
  // Another server than these may take the request soon. An ejection lasts too
  // long for a request to wait for its end.
  bool HasOther(uint32_t aService, const std::vector<ServerRef>& aTried) const;

  uint64_t Ejections() const { return mEjections; }
  uint64_t Readmissions() const { return mReadmissions; }
  uint64_t EjectionsWithheld() const { return mEjectionsWithheld; }

private:
  struct Departed
  {
    Incarnation incarnation;
    Millis forgetAt;
    // Announced that it is leaving; otherwise it only fell silent.
    bool left = false;
  };

  HomeServer& Get(ServerIndex aServer) { return *mServers[aServer]; }
  bool IsStale(const ServerAnnouncement& aFrom, Millis aNow) const;
  void Update(HomeServer& aServer,
              const ServerAnnouncement& aFrom,
              Millis aNow);
  ServerIndex Insert(const ServerAnnouncement& aFrom,
                     uint32_t aService,
                     Millis aNow);
  ServerRef Remove(ServerIndex aServer, Millis aNow);
  bool Usable(const HomeServer& aServer, Millis aNow) const;
  void Refresh(ServerIndex aServer, Millis aNow);
  void NoteOutcome(HomeServer& aServer,
                   const AttemptOutcome& aOutcome,
                   Millis aNow);
  // Errors of more than half of a zone's pool are more likely the requests'
  // fault. Requests have no part in a connection that fails, so servers that
  // cannot be reached are ejected while another one is left.
  bool MayEject(const HomeServer& aServer, bool aUnreachable) const;
  template<typename Excluded>
  std::optional<ServerIndex> Pick(uint32_t aService,
                                  Excluded aExcluded,
                                  Millis aNow,
                                  Random& aRandom);

  const RouterOptions& mOptions;
  ZoneId mZone;
  std::vector<std::optional<HomeServer>> mServers;
  std::vector<ServerIndex> mFree;
  std::unordered_map<ServerId, ServerIndex> mById;
  std::unordered_map<ServerId, Departed> mDeparted;
  // By number of the service.
  std::vector<ServerPool> mPools;
  uint64_t mEjections = 0;
  uint64_t mReadmissions = 0;
  uint64_t mEjectionsWithheld = 0;
};

} // namespace limpetwood::routing
