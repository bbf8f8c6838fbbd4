#include "routing/router.h"

#include "base/hash.h"
#include "routing/internal/router_impl.h"

#include <algorithm>

namespace limpetwood::routing {

Router::Impl::Impl(RouterOptions aOptions,
                   InstanceId aSelf,
                   ZoneId aZone,
                   uint64_t aSeed)
  : mOptions(aOptions)
  , mSelf(aSelf)
  , mZone(aZone)
  , mRandom(Hash64(aSelf.Value(), aSeed))
  , mServers(mOptions, aZone)
  , mPeers(mOptions, aSelf, aZone)
  , mBorrower(mOptions, mRandom())
  , mRetryBudget(mOptions.retryRatio, kMaxSavedRetries)
  , mKeys(mOptions)
{
}

void
Router::Impl::Configure(const RoutingConfig& aConfig, Millis aNow)
{
  for (ServiceState& it : mServices) {
    it.declared = false;
  }
  for (const ServiceConfig& it : aConfig.services) {
    auto [found, added] =
      mServiceIndex.try_emplace(it.id, static_cast<uint32_t>(mServices.size()));
    if (added) {
      FairQueue::Options options;
      options.normalPriorityShare = mOptions.normalPriorityShare;
      options.firstInFirstOut = mOptions.testOnly.firstInFirstOut;
      options.urgentAlwaysFirst = mOptions.testOnly.urgentAlwaysFirst;
      mServices.emplace_back(options);
    }
    ServiceState& service = mServices[found->second];
    service.config = it;
    service.declared = true;
    service.queue.SetLimit(it.queueLimit);
  }
  for (WorkspaceState& it : mWorkspaces) {
    it.declared = false;
  }
  for (const WorkspaceConfig& it : aConfig.workspaces) {
    auto [found, added] = mWorkspaceIndex.try_emplace(
      it.id, static_cast<uint32_t>(mWorkspaces.size()));
    if (added) {
      mWorkspaces.emplace_back();
    }
    WorkspaceState& workspace = mWorkspaces[found->second];
    workspace.config = it;
    workspace.declared = true;
    workspace.hash = static_cast<uint32_t>(Hash64(it.id.Value()));
    workspace.view.workspace = it.id;
    for (ServiceState& service : mServices) {
      service.queue.SetShare(found->second, it.share);
    }
  }
  mPeers.Configure(aConfig.instances);
  mInstanceCount =
    std::max(1U, static_cast<uint32_t>(aConfig.instances.size()));
  mKeyOwners.Update(aConfig.instances,
                    mOptions.keyLifetime + mOptions.keyOwnerSkewMargin,
                    aNow);
  mKeys.Tick(aNow);
}

void
Router::Impl::Tick(Millis aNow, Effects& aEffects)
{
  while (!mTimers.empty() && mTimers.top().at <= aNow) {
    RequestId request = mTimers.top().request;
    mTimers.pop();
    OnRequestTimer(request, aNow, aEffects);
  }
  if (aNow >= mNextHousekeeping) {
    Housekeeping(aNow, aEffects);
  }
  if (aNow >= mNextRenewal && !mBorrower.Leases().empty()) {
    RenewBorrowedLeases(aNow, aEffects);
  }
  if (aNow >= mNextDigest) {
    SendDigest(false, aNow, aEffects);
  }
  if (mDeltaPending && aNow >= mLastDelta + mOptions.deltaInterval) {
    SendDigest(true, aNow, aEffects);
  }
}

Millis
Router::Impl::NextDeadline() const
{
  Millis next = std::min(mNextDigest, mNextHousekeeping);
  if (!mTimers.empty()) {
    next = std::min(next, mTimers.top().at);
  }
  if (!mBorrower.Leases().empty()) {
    next = std::min(next, mNextRenewal);
  }
  if (mDeltaPending) {
    next = std::min(next, mLastDelta + mOptions.deltaInterval);
  }
  return next;
}

Router::Router(RouterOptions aOptions,
               InstanceId aSelf,
               ZoneId aZone,
               uint64_t aSeed)
  : mImpl(std::make_unique<Impl>(aOptions,
                                 std::move(aSelf),
                                 std::move(aZone),
                                 aSeed))
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router&
Router::operator=(Router&&) noexcept = default;

Effects
Router::ConfigurationChanged(const RoutingConfig& aConfig, Millis aNow)
{
  Effects effects;
  mImpl->Configure(aConfig, aNow);
  mImpl->ServeAllQueues(aNow, effects);
  return effects;
}

AnnounceResult
Router::Announce(const ServerAnnouncement& aAnnouncement, Millis aNow)
{
  return mImpl->Announce(aAnnouncement, aNow);
}

Effects
Router::Admit(const RequestInfo& aRequest, Millis aNow)
{
  Effects effects;
  mImpl->Admit(aRequest, aNow, effects);
  return effects;
}

Effects
Router::AttemptEnded(RequestId aRequest,
                     uint32_t aAttempt,
                     const AttemptOutcome& aOutcome,
                     Millis aNow)
{
  Effects effects;
  mImpl->AttemptEnded(aRequest, aAttempt, aOutcome, aNow, effects);
  return effects;
}

Effects
Router::Cancelled(RequestId aRequest, bool aSent, Millis aNow)
{
  Effects effects;
  mImpl->AbortRequest(aRequest, aSent, Reason::kCancelled, aNow, effects);
  return effects;
}

Effects
Router::PeerMessageReceived(const InstanceId& aFrom,
                            const PeerMessage& aMessage,
                            Millis aNow)
{
  Effects effects;
  mImpl->OnPeerMessage(aFrom, aMessage, aNow, effects);
  return effects;
}

Effects
Router::SetEvacuatedZones(const EvacuatedZones& aEvacuated, Millis aNow)
{
  Effects effects;
  if (mImpl->SetEvacuatedZones(aEvacuated, aNow, effects)) {
    // At once, so that instances without contact to the control leader do not
    // wait for the next digest.
    mImpl->SendDigest(false, aNow, effects);
  }
  return effects;
}

Effects
Router::Tick(Millis aNow)
{
  Effects effects;
  mImpl->Tick(aNow, effects);
  return effects;
}

Millis
Router::NextDeadline() const
{
  return mImpl->NextDeadline();
}

Effects
Router::Drain(Millis /*aNow*/)
{
  // Requests in progress continue, so there are no effects yet.
  mImpl->mDraining = true;
  return {};
}

bool
Router::Idle() const
{
  return mImpl->mRequests.empty();
}

Effects
Router::EndAllRequests(Millis aNow)
{
  Effects effects;
  std::vector<RequestId> all;
  for (const auto& [id, request] : mImpl->mRequests) {
    all.push_back(id);
  }
  // Requests without a slot are ended first, so that released slots are not
  // granted to them.
  std::stable_partition(all.begin(), all.end(), [&](RequestId aId) {
    return mImpl->mRequests.at(aId).state != RequestState::kRunning;
  });
  for (RequestId it : all) {
    // A running attempt may have been sent to its server.
    mImpl->AbortRequest(it, /*aSent=*/true, Reason::kShutdown, aNow, effects);
  }
  return effects;
}

const RouterCounters&
Router::Counters() const
{
  RouterCounters& counters = mImpl->mCounters;
  counters.ejections = mImpl->mServers.Ejections();
  counters.readmissions = mImpl->mServers.Readmissions();
  counters.ejectionsWithheld = mImpl->mServers.EjectionsWithheld();
  return counters;
}

std::vector<ServerView>
Router::Servers(Millis aNow) const
{
  std::vector<ServerView> views;
  for (const HomeServer* it : mImpl->mServers.All()) {
    ServerView view;
    view.identity = *it->identity;
    view.slots = it->ledger.Slots();
    view.localAttempts = it->ledger.LocalAttempts();
    view.lentSlots = it->ledger.LentSlots();
    view.unattributedBusy = it->ledger.UnattributedBusy();
    view.leaving = it->leaving;
    view.ejected = it->health.Ejected();
    view.takeoverPending = !it->takeoverComplete;
    view.latencyMs = it->health.LatencyMs();
    view.age = aNow - it->lastAnnouncedAt;
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<PeerView>
Router::Peers(Millis aNow) const
{
  std::vector<PeerView> views;
  for (const Peer& it : mImpl->mPeers.All()) {
    PeerView view;
    view.instance = it.id;
    view.zone = it.zone;
    view.fresh = mImpl->mPeers.IsFresh(it, aNow);
    for (const ServiceDigest& service : it.services) {
      view.servers += service.servers;
      view.freeSlots += service.freeSlots;
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<WorkspaceView>
Router::Workspaces() const
{
  std::vector<WorkspaceView> views;
  for (const WorkspaceState& it : mImpl->mWorkspaces) {
    if (it.declared || it.view.inProgress > 0) {
      views.push_back(it.view);
    }
  }
  return views;
}

} // namespace limpetwood::routing
