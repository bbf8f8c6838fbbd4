// Free slots and quota usage of the other instances, from their digests.
//
// The digests are hints for choosing an instance to borrow from; only the home
// instance of a server grants its slots.

#pragma once

#include "base/random.h"
#include "routing/messages.h"
#include "routing/options.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace limpetwood::routing {

// Maximum entries in one full digest. If there are more services, consecutive
// digests list them in turn.
constexpr std::size_t kMaxDigestServices = 16;
constexpr std::size_t kMaxDigestWorkspaces = 8;

struct Peer
{
  InstanceId id{};
  ZoneId zone{};
  uint64_t digestVersion = 0;
  // Time of the last digest; empty before the first one.
  std::optional<Millis> lastDigestAt{};
  std::vector<ServiceDigest> services{};
  std::vector<WorkspaceUse> workspaces{};
};

class PeerTable
{
public:
  PeerTable(const RouterOptions& aOptions, InstanceId aSelf, ZoneId aZone);

  void Configure(const std::vector<InstanceConfig>& aInstances);

  bool Contains(const InstanceId& aInstance) const;

  // Returns false if the sender is unknown, or if the digest is not newer than
  // the last one and the last one is still fresh. Versions start over when an
  // instance restarts.
  bool AcceptDigest(const InstanceId& aFrom,
                    const Digest& aDigest,
                    Millis aNow);

  // Chooses an instance to borrow slots of the service from: preferably one
  // with free slots in this instance's zone, then one with free slots in
  // another zone. With `aAllowSaturated`, instances without free slots are
  // considered last. With `aAvoidEvacuated`, instances that only have servers
  // in evacuated zones are skipped. Skips instances for which `aExcluded`
  // returns true.
  // `aFreeSlots` receives the free slots of the chosen instance.
  template<typename Excluded>
  std::optional<InstanceId> PickLender(const ServiceId& aService,
                                       bool aAllowSaturated,
                                       bool aAvoidEvacuated,
                                       Millis aNow,
                                       Random& aRandom,
                                       Excluded aExcluded,
                                       uint32_t& aFreeSlots) const;

  // Reduces the free slots assumed for the instance until its next digest.
  void DeductFreeSlots(const InstanceId& aInstance,
                       const ServiceId& aService,
                       uint32_t aSlots);

  // True if any instance with a recent digest has a server of the service.
  bool HasServers(const ServiceId& aService, Millis aNow) const;

  // The same, without servers in evacuated zones.
  bool HasServersOutsideEvacuated(const ServiceId& aService, Millis aNow) const;

  // Requests of the workspace that are in progress on other instances.
  uint32_t RequestsElsewhere(uint32_t aWorkspaceHash, Millis aNow) const;

  // True if the last digest is younger than `RouterOptions::digestTimeToLive`.
  bool IsFresh(const Peer& aPeer, Millis aNow) const;
  const std::vector<Peer>& All() const { return mPeers; }

private:
  Peer* Find(const InstanceId& aInstance);
  static ServiceDigest* FindService(Peer& aPeer, const ServiceId& aService);
  static const ServiceDigest* FindService(const Peer& aPeer,
                                          const ServiceId& aService);

  const RouterOptions& mOptions;
  InstanceId mSelf;
  ZoneId mZone;
  std::vector<Peer> mPeers;
};

template<typename Excluded>
std::optional<InstanceId>
PeerTable::PickLender(const ServiceId& aService,
                      bool aAllowSaturated,
                      bool aAvoidEvacuated,
                      Millis aNow,
                      Random& aRandom,
                      Excluded aExcluded,
                      uint32_t& aFreeSlots) const
{
  // Candidates by rank: free slots in the own zone, free slots in another zone,
  // no free slots.
  std::array<const Peer*, 3> chosen{};
  std::array<uint32_t, 3> free{};
  std::array<uint32_t, 3> weightSum{};
  for (const Peer& it : mPeers) {
    const ServiceDigest* service = FindService(it, aService);
    if (!service || service->servers == 0 || !IsFresh(it, aNow) ||
        (aAvoidEvacuated && service->servers <= service->evacuatedServers) ||
        aExcluded(it.id)) {
      continue;
    }
    std::size_t rank = it.zone == mZone ? 0 : 1;
    rank = service->freeSlots > 0 ? rank : 2;
    if (rank == 2 && !aAllowSaturated) {
      continue;
    }
    // Weighted random choice by free slots, so that borrowers spread over the
    // lenders.
    uint32_t weight = std::max(1U, service->freeSlots);
    weightSum.at(rank) += weight;
    if (aRandom.Below(weightSum.at(rank)) < weight) {
      chosen.at(rank) = &it;
      free.at(rank) = service->freeSlots;
    }
  }
  for (std::size_t n = 0; n < chosen.size(); ++n) {
    if (chosen.at(n)) {
      aFreeSlots = free.at(n);
      return chosen.at(n)->id;
    }
  }
  return std::nullopt;
}

} // namespace limpetwood::routing
