#include "routing/peer_table.h"

namespace limpetwood::routing {

PeerTable::PeerTable(const RouterOptions& aOptions,
                     InstanceId aSelf,
                     ZoneId aZone)
  : mOptions(aOptions)
  , mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
{
}

void
PeerTable::Configure(const std::vector<InstanceConfig>& aInstances)
{
  std::vector<Peer> peers;
  for (const InstanceConfig& it : aInstances) {
    if (it.id == mSelf) {
      continue;
    }
    Peer* known = Find(it.id);
    peers.push_back(known ? std::move(*known) : Peer{});
    peers.back().id = it.id;
    peers.back().zone = it.zone;
  }
  mPeers = std::move(peers);
}

Peer*
PeerTable::Find(const InstanceId& aInstance)
{
  auto found =
    std::find_if(mPeers.begin(), mPeers.end(), [&](const Peer& aPeer) {
      return aPeer.id == aInstance;
    });
  return found == mPeers.end() ? nullptr : &*found;
}

const ServiceDigest*
PeerTable::FindService(const Peer& aPeer, const ServiceId& aService)
{
  for (const ServiceDigest& it : aPeer.services) {
    if (it.service == aService) {
      return &it;
    }
  }
  return nullptr;
}

ServiceDigest*
PeerTable::FindService(Peer& aPeer, const ServiceId& aService)
{
  const Peer& peer = aPeer;
  return const_cast<ServiceDigest*>(FindService(peer, aService));
}

bool
PeerTable::Contains(const InstanceId& aInstance) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const Peer& aPeer) {
    return aPeer.id == aInstance;
  });
}

bool
PeerTable::IsFresh(const Peer& aPeer, Millis aNow) const
{
  return aPeer.lastDigestAt &&
         aNow < *aPeer.lastDigestAt + mOptions.digestTimeToLive;
}

bool
PeerTable::AcceptDigest(const InstanceId& aFrom,
                        const Digest& aDigest,
                        Millis aNow)
{
  Peer* peer = Find(aFrom);
  // Digest versions start over when an instance restarts, so a lower version is
  // accepted once the previous digest is out of date.
  if (!peer ||
      (IsFresh(*peer, aNow) && aDigest.version <= peer->digestVersion)) {
    return false;
  }
  peer->digestVersion = aDigest.version;
  peer->lastDigestAt = aNow;
  if (!aDigest.delta) {
    peer->workspaces = aDigest.workspaces;
    if (aDigest.services.size() < kMaxDigestServices) {
      peer->services = aDigest.services;
      return true;
    }
  }
  for (const ServiceDigest& it : aDigest.services) {
    if (ServiceDigest* known = FindService(*peer, it.service)) {
      *known = it;
    } else {
      peer->services.push_back(it);
    }
  }
  std::erase_if(peer->services,
                [](const ServiceDigest& x) { return x.servers == 0; });
  return true;
}

void
PeerTable::DeductFreeSlots(const InstanceId& aInstance,
                           const ServiceId& aService,
                           uint32_t aSlots)
{
  Peer* peer = Find(aInstance);
  ServiceDigest* service = peer ? FindService(*peer, aService) : nullptr;
  if (service) {
    service->freeSlots -= std::min(service->freeSlots, aSlots);
  }
}

bool
PeerTable::HasServers(const ServiceId& aService, Millis aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const Peer& aPeer) {
    const ServiceDigest* service = FindService(aPeer, aService);
    return service && service->servers > 0 && IsFresh(aPeer, aNow);
  });
}

bool
PeerTable::HasServersOutsideEvacuated(const ServiceId& aService,
                                      Millis aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const Peer& aPeer) {
    const ServiceDigest* service = FindService(aPeer, aService);
    return service && service->servers > service->evacuatedServers &&
           IsFresh(aPeer, aNow);
  });
}

uint32_t
PeerTable::RequestsElsewhere(uint32_t aWorkspaceHash, Millis aNow) const
{
  uint32_t sum = 0;
  for (const Peer& peer : mPeers) {
    for (const WorkspaceUse& it : peer.workspaces) {
      sum += it.workspaceHash == aWorkspaceHash && IsFresh(peer, aNow)
               ? it.requests
               : 0;
    }
  }
  return sum;
}

} // namespace limpetwood::routing
