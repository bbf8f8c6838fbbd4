// The backend servers whose home is this instance: their slots, connection
// limits and health.
//
// A server is removed when it has not announced itself for `serverTimeToLive`.
// The incarnations of removed servers are remembered for a while, so that a
// delayed announcement does not add back a server that has left or been
// replaced.

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
#include <set>
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
    , lastAnnouncedAt(aNow)
  {
  }

  ServerRef identity{};
  SlotLedger ledger;
  ConnectionBudget connections;
  ServerHealth health;
  Millis lastAnnouncedAt;
  // No slot is granted before this time, because a former home instance may
  // still grant slots. The first announcement after it reports the work that
  // the former home instance started last, and completes the takeover.
  Millis takeoverReadyAt{};
  bool takeoverComplete = false;
  uint32_t serviceIndex = 0;
  bool leaving = false;
};

class ServerTable
{
public:
  ServerTable(const RouterOptions& aOptions, ZoneId aZone);

  // Result of an announcement, including the changes to the set of servers.
  struct Change
  {
    AnnounceStatus status = AnnounceStatus::kAccepted;
    std::optional<ServerIndex> server{};
    bool added = false;
    bool startedLeaving = false;
    // Set if the announcement replaced an earlier entry of the same server.
    std::vector<LentLease> endedLeases{};
    ServerRef replacedServer{};
  };

  // `aService` is the index of the service; indices are dense.
  Change Announce(const ServerAnnouncement& aAnnouncement,
                  uint32_t aService,
                  Millis aNow);

  // Removes servers that stopped announcing themselves, expires leases and
  // readmits ejected servers whose ejection time has passed. Returns the
  // removed servers and appends the ended leases to `aEndedLeases`.
  std::vector<ServerRef> Expire(Millis aNow,
                                std::vector<LentLease>& aEndedLeases);

  // Removes the server because another instance has become its home. Returns
  // null if the server is unknown here or known with a later incarnation.
  ServerRef RemoveClaimed(const ServerId& aServer,
                          Incarnation aIncarnation,
                          Millis aNow,
                          std::vector<LentLease>& aEndedLeases);

  // Takes a slot for an attempt of this instance on the best server that is not
  // among `aTried`.
  std::optional<ServerIndex> TakeLocalSlot(uint32_t aService,
                                           const std::vector<ServerRef>& aTried,
                                           Millis aNow,
                                           Random& aRandom);

  // Lends a slot of the best server that is not among `aExclude`.
  std::optional<ServerIndex> Lend(uint32_t aService,
                                  const std::vector<ServerId>& aExclude,
                                  const InstanceId& aBorrower,
                                  LeaseId aLease,
                                  Millis aNow,
                                  Random& aRandom);

  // Returns false, without effect, if the server has been removed or replaced.
  bool ReleaseLocalSlot(ServerIndex aServer,
                        const ServerRef& aIdentity,
                        Millis aStartedAt,
                        const AttemptOutcome& aOutcome,
                        Millis aNow);
  // Extends a lease. No effect if the server was removed or the lease has
  // ended.
  void Renew(ServerIndex aServer,
             const InstanceId& aBorrower,
             LeaseId aLease,
             Millis aNow);
  // Ends a lease and records the outcome of its attempt. No effect if the
  // server was removed or the lease has ended.
  void Return(ServerIndex aServer,
              const InstanceId& aBorrower,
              const ReturnedLease& aLease,
              Millis aNow);

  // Precondition: the server is present.
  const HomeServer& At(ServerIndex aServer) const { return *mServers[aServer]; }

  std::vector<const HomeServer*> All() const;
  // Time until the server should announce itself again.
  Millis RenewAfter(ServerIndex aServer, Millis aNow) const;

  // Servers of these zones are counted as evacuated from now on.
  void SetEvacuatedZones(std::set<ZoneId> aZones);

  // Sets whether servers of evacuated zones get no new work of the service.
  void SetAvoidEvacuated(uint32_t aService, bool aAvoid, Millis aNow);

  // Servers that accept new work, now or after their takeover wait, and their
  // slots. Slots of avoided servers do not count.
  struct Capacity
  {
    uint32_t servers = 0;
    // Of `servers`, those in evacuated zones.
    uint32_t evacuatedServers = 0;
    // Slots available to this instance, used or free: all slots except those
    // lent to other instances and those occupied by unattributed work.
    uint32_t slots = 0;
    uint32_t freeSlots = 0;
  };
  // Adds to `aCapacities`, which is indexed by service.
  void Capacities(std::vector<Capacity>& aCapacities) const;

  // True if some server of the service can take an attempt now.
  bool HasCandidate(uint32_t aService) const
  {
    return aService < mPools.size() && !mPools[aService].Empty();
  }
  // True if some server of the service is known that is not leaving, even if it
  // is ejected.
  bool HasServers(uint32_t aService) const;
  // True if a server that is not among `aTried` may take the request soon.
  // Ejected servers do not count, because an ejection lasts too long for a
  // request to wait for its end.
  bool HasUntriedServer(uint32_t aService,
                        const std::vector<ServerRef>& aTried) const;

  // True if the server is known with this identity and has announced that it is
  // leaving.
  bool IsLeaving(ServerIndex aServer, const ServerRef& aIdentity) const
  {
    return aServer < mServers.size() && mServers[aServer] &&
           At(aServer).identity == aIdentity && At(aServer).leaving;
  }

  uint64_t Ejections() const { return mEjections; }
  uint64_t Readmissions() const { return mReadmissions; }
  uint64_t EjectionsWithheld() const { return mEjectionsWithheld; }

private:
  struct RemovedServer
  {
    Incarnation incarnation;
    Millis expiresAt;
    // The server announced that it is leaving; false if it only stopped
    // announcing itself.
    bool announcedLeaving = false;
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
  bool IsUsable(const HomeServer& aServer, Millis aNow) const;
  bool IsEvacuated(const HomeServer& aServer) const
  {
    return mEvacuatedZones.contains(aServer.identity->zone);
  }
  // True if the server gets no new work, because its zone is evacuated.
  bool IsAvoided(const HomeServer& aServer) const
  {
    return aServer.serviceIndex < mAvoidEvacuated.size() &&
           mAvoidEvacuated[aServer.serviceIndex] && IsEvacuated(aServer);
  }
  void UpdateCandidate(ServerIndex aServer, Millis aNow);
  void RecordAttemptOutcome(HomeServer& aServer,
                            const AttemptOutcome& aOutcome,
                            Millis aNow);
  // Whether the server may be ejected in addition to those ejected already. At
  // most half of a zone's pool is ejected because of errors, since errors on
  // more servers are more likely caused by the requests. A failed connection is
  // never caused by the request, so unreachable servers are ejected as long as
  // one server is left.
  bool MayEject(const HomeServer& aServer, bool aUnreachable) const;
  template<typename Excluded>
  std::optional<ServerIndex> Pick(uint32_t aService,
                                  Excluded aExcluded,
                                  Millis aNow,
                                  Random& aRandom);

  const RouterOptions& mOptions;
  ZoneId mZone;
  std::vector<std::optional<HomeServer>> mServers;
  std::vector<ServerIndex> mFreeIndices;
  std::unordered_map<ServerId, ServerIndex> mById;
  std::unordered_map<ServerId, RemovedServer> mRemovedServers;
  // Indexed by service.
  std::vector<ServerPool> mPools;
  std::set<ZoneId> mEvacuatedZones;
  // Indexed by service; may be shorter than the number of services.
  std::vector<bool> mAvoidEvacuated;
  uint64_t mEjections = 0;
  uint64_t mReadmissions = 0;
  uint64_t mEjectionsWithheld = 0;
};

} // namespace limpetwood::routing
