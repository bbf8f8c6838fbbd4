// Admission, queueing, grants and ends of requests.

#include "routing/internal/router_impl.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// Maximum number of queued requests that are skipped in one pass because they
// have already tried the servers with free slots. Bounds the cost of a pass.
constexpr std::size_t kMaxSkippedRequests = 8;
// Share of the turns for waiting borrowers while local requests are queued as
// well, so that callers of an instance without servers are served.
constexpr double kBorrowerShare = 0.25;

// Returns skipped requests to the front of the queue in their previous order.
void
PutBack(FairQueue& aQueue, std::vector<FairQueue::Entry>& aSkipped)
{
  std::reverse(aSkipped.begin(), aSkipped.end());
  for (const FairQueue::Entry& it : aSkipped) {
    aQueue.PushFront(it);
  }
}

} // namespace

bool
Router::Impl::IsOverQuota(const WorkspaceState& aWorkspace, Millis aNow) const
{
  uint32_t quota = aWorkspace.config.requests;
  if (quota == 0) {
    return false;
  }
  uint32_t own = aWorkspace.view.inProgress;
  return own >= quota ||
         own + mPeers.RequestsElsewhere(aWorkspace.hash, aNow) >= quota;
}

Reason
Router::Impl::CheckAdmission(const RequestInfo& aInfo,
                             uint32_t& aService,
                             WorkspaceIndex& aWorkspace,
                             Millis aNow) const
{
  auto service = mServiceIndex.find(aInfo.service);
  if (service == mServiceIndex.end() || !mServices[service->second].declared) {
    return Reason::kUnknownService;
  }
  aService = service->second;
  auto workspace = mWorkspaceIndex.find(aInfo.workspace);
  if (workspace == mWorkspaceIndex.end() ||
      !mWorkspaces[workspace->second].declared) {
    return Reason::kUnknownWorkspace;
  }
  aWorkspace = workspace->second;
  if (mDraining) {
    return Reason::kDraining;
  }
  if (aInfo.deadline && *aInfo.deadline <= aNow) {
    return Reason::kDeadlinePassed;
  }
  if (IsOverQuota(mWorkspaces[aWorkspace], aNow)) {
    return Reason::kWorkspaceQuota;
  }
  if (mServices[aService].capacity.servers == 0 &&
      !mServers.HasServers(aService) &&
      !mPeers.HasServers(aInfo.service, aNow)) {
    return Reason::kNoServers;
  }
  return Reason::kNone;
}

void
Router::Impl::Admit(const RequestInfo& aInfo, Millis aNow, Effects& aEffects)
{
  ++mCounters.admitted;
  uint32_t service = 0;
  WorkspaceIndex workspace = 0;
  Reason reason = CheckAdmission(aInfo, service, workspace, aNow);
  if (reason != Reason::kNone) {
    if (reason != Reason::kUnknownService &&
        reason != Reason::kUnknownWorkspace) {
      ++mWorkspaces[workspace].view.refused;
    }
    ++mCounters.endedByReason.at(static_cast<std::size_t>(reason));
    aEffects.endedRequests.push_back(
      RequestEnd{ aInfo.id, Verdict::kNotRun, reason });
    return;
  }
  mRetryBudget.OnRequest();
  RequestRecord& request = mRequests[aInfo.id];
  request.service = service;
  request.workspace = workspace;
  request.priority = aInfo.priority;
  request.repeatable = aInfo.repeatable;
  request.deadline =
    aInfo.deadline.value_or(aNow + mServices[service].config.defaultDeadline);
  WorkspaceView& view = mWorkspaces[workspace].view;
  ++view.admitted;
  ++view.inProgress;
  if (!aInfo.repeatable && !aInfo.key.empty() &&
      !mOptions.testOnly.skipKeyRecording) {
    StartKeyRecording(aInfo.id, request, aInfo, aNow, aEffects);
    return;
  }
  GrantOrEnqueue(aInfo.id, request, aNow, aEffects);
}

void
Router::Impl::GrantOrEnqueue(RequestId aId,
                             RequestRecord& aRequest,
                             Millis aNow,
                             Effects& aEffects)
{
  uint32_t index = aRequest.service;
  ServiceState& service = mServices[index];
  if (service.queue.Empty() && GrantLocalSlot(aId, aRequest, aNow, aEffects)) {
    return;
  }
  std::optional<RequestId> displaced;
  Reason reason = CheckQueueAdmission(aRequest, aNow, displaced);
  if (reason != Reason::kNone) {
    EndRequest(aId, Verdict::kNotRun, reason, aEffects);
    return;
  }
  if (displaced) {
    RequestRecord& other = mRequests.at(*displaced);
    RemoveFromQueue(*displaced, other);
    EndRequest(*displaced, other.verdict, Reason::kQueueFull, aEffects);
  }
  Enqueue(aId, aRequest);
  mTimers.push(Timer{ aRequest.deadline, aId });
  ServeQueue(index, aNow, aEffects);
}

void
Router::Impl::RemoveFromQueue(RequestId aId, const RequestRecord& aRequest)
{
  mServices[aRequest.service].queue.Remove(
    aId, aRequest.workspace, aRequest.priority);
  --mWorkspaces[aRequest.workspace].view.queued;
}

Reason
Router::Impl::CheckQueueAdmission(const RequestRecord& aRequest,
                                  Millis aNow,
                                  std::optional<RequestId>& aDisplaced) const
{
  const ServiceState& service = mServices[aRequest.service];
  if (!service.queue.CanAdd(aRequest.workspace, aDisplaced)) {
    return Reason::kQueueFull;
  }
  double ahead =
    service.queue.RequestsAhead(aRequest.workspace, aRequest.priority);
  Millis wait =
    service.waitEstimator.ExpectedWait(ahead, service.capacity.slots);
  bool tooLate =
    aNow + wait + service.waitEstimator.ServiceTimeP95() > aRequest.deadline;
  return tooLate && !mOptions.testOnly.skipDeadlineCheck
           ? Reason::kDeadlineTooShort
           : Reason::kNone;
}

void
Router::Impl::Enqueue(RequestId aId, RequestRecord& aRequest)
{
  ServiceState& service = mServices[aRequest.service];
  FairQueue::Entry entry{ aId,
                          aRequest.workspace,
                          aRequest.priority,
                          service.waitEstimator.MeanServiceMs() };
  aRequest.state = RequestState::kQueued;
  if (aRequest.attempts > 0) {
    service.queue.PushFront(entry);
    service.excludedServers.clear();
    for (const ServerRef& it : aRequest.triedServers) {
      service.excludedServers.push_back(it->id);
    }
  } else {
    service.queue.Push(entry);
  }
  ++mWorkspaces[aRequest.workspace].view.queued;
}

bool
Router::Impl::CannotMeetDeadline(const RequestRecord& aRequest,
                                 Millis aNow) const
{
  Millis serviceTime =
    mOptions.testOnly.skipDeadlineCheck
      ? Millis(0)
      : mServices[aRequest.service].waitEstimator.ServiceTimeP95();
  return aNow + serviceTime >= aRequest.deadline;
}

void
Router::Impl::ServeQueue(uint32_t aService, Millis aNow, Effects& aEffects)
{
  ServiceState& service = mServices[aService];
  std::vector<FairQueue::Entry> skipped;
  while (!service.queue.Empty() && skipped.size() < kMaxSkippedRequests) {
    if (!mServers.HasCandidate(aService)) {
      break;
    }
    if (mLender.FirstWaiting(aService, aNow)) {
      service.borrowerCredit += kBorrowerShare;
      if (service.borrowerCredit >= 1) {
        service.borrowerCredit -= 1;
        if (LendToWaiting(aService, aNow, aEffects)) {
          continue;
        }
      }
    }
    FairQueue::Entry entry = *service.queue.Pop();
    RequestRecord& request = mRequests.at(entry.request);
    --mWorkspaces[request.workspace].view.queued;
    if (CannotMeetDeadline(request, aNow)) {
      EndRequest(
        entry.request, request.verdict, Reason::kDeadlinePassed, aEffects);
    } else if (!GrantLocalSlot(entry.request, request, aNow, aEffects)) {
      ++mWorkspaces[request.workspace].view.queued;
      skipped.push_back(entry);
    }
  }
  PutBack(service.queue, skipped);
  if (service.queue.Empty()) {
    while (mServers.HasCandidate(aService) &&
           LendToWaiting(aService, aNow, aEffects)) {
    }
  } else {
    BorrowSlots(aService, aNow, aEffects);
  }
}

bool
Router::Impl::GrantLocalSlot(RequestId aId,
                             RequestRecord& aRequest,
                             Millis aNow,
                             Effects& aEffects)
{
  auto taken = mServers.TakeLocalSlot(
    aRequest.service, aRequest.triedServers, aNow, mRandom);
  if (!taken) {
    return false;
  }
  const HomeServer& server = mServers.At(*taken);
  aRequest.server = server.identity;
  aRequest.serverIndex = *taken;
  aRequest.lease.reset();
  AddGrant(aId,
           aRequest,
           server.connections.HomeLimit(server.ledger.OccupiedElsewhere()),
           aNow,
           aEffects);
  return true;
}

bool
Router::Impl::WasTried(const RequestRecord& aRequest,
                       const ServerId& aServer) const
{
  return std::any_of(aRequest.triedServers.begin(),
                     aRequest.triedServers.end(),
                     [&](const ServerRef& it) { return it->id == aServer; });
}

void
Router::Impl::UseLease(const BorrowedLease& aLease,
                       const AttemptOutcome* aLastOutcome,
                       Millis aNow,
                       Effects& aEffects)
{
  ServiceState& service = mServices[aLease.serviceIndex];
  if (IsAvoided(aLease.serviceIndex, *aLease.server)) {
    // The home instance has not heard of the evacuation yet.
    ReturnLease(aLease, aLastOutcome, aEffects);
    return;
  }
  std::vector<FairQueue::Entry> skipped;
  bool used = false;
  while (!used && !service.queue.Empty() &&
         skipped.size() < kMaxSkippedRequests) {
    FairQueue::Entry entry = *service.queue.Pop();
    RequestRecord& request = mRequests.at(entry.request);
    if (WasTried(request, aLease.server->id)) {
      skipped.push_back(entry);
      continue;
    }
    --mWorkspaces[request.workspace].view.queued;
    if (CannotMeetDeadline(request, aNow)) {
      EndRequest(
        entry.request, request.verdict, Reason::kDeadlinePassed, aEffects);
      continue;
    }
    mBorrower.Add(aLease);
    request.server = aLease.server;
    request.lease = aLease.lease;
    service.excludedServers.clear();
    AddGrant(entry.request,
             request,
             mBorrower.ConnectionsTo(aLease.server->id),
             aNow,
             aEffects);
    used = true;
  }
  PutBack(service.queue, skipped);
  if (!used) {
    ReturnLease(aLease, aLastOutcome, aEffects);
  }
}

void
Router::Impl::AddGrant(RequestId aId,
                       RequestRecord& aRequest,
                       uint32_t aConnections,
                       Millis aNow,
                       Effects& aEffects)
{
  ++mCounters.attempts;
  ++aRequest.attempts;
  aRequest.state = RequestState::kRunning;
  aRequest.grantedAt = aNow;
  Millis limit = std::min(mServices[aRequest.service].config.attemptTimeout,
                          aRequest.deadline - aNow);
  aEffects.grants.push_back(routing::Grant{
    aId, aRequest.attempts, aRequest.server, limit, aConnections });
}

void
Router::Impl::ReleaseSlot(RequestRecord& aRequest,
                          const AttemptOutcome& aOutcome,
                          Millis aNow,
                          Effects& aEffects)
{
  if (!aRequest.lease) {
    bool known = mServers.ReleaseLocalSlot(aRequest.serverIndex,
                                           aRequest.server,
                                           aRequest.grantedAt,
                                           aOutcome,
                                           aNow);
    if (!known) {
      // The server now has another home instance or none.
      aEffects.connectionLimits.push_back(
        ConnectionLimit{ aRequest.server, 0 });
    }
    return;
  }
  LeaseId id = *aRequest.lease;
  aRequest.lease.reset();
  BorrowedLease* borrowed = mBorrower.Find(id);
  if (!borrowed) {
    return;
  }
  BorrowedLease lease = *borrowed;
  mBorrower.Remove(id);
  bool reusable = aOutcome.result == AttemptResult::kAnswered &&
                  !lease.revoked && aNow < lease.startBefore;
  if (reusable && !mServices[lease.serviceIndex].queue.Empty()) {
    UseLease(lease, &aOutcome, aNow, aEffects);
  } else {
    ReturnLease(lease, &aOutcome, aEffects);
  }
}

bool
Router::Impl::IsServerLeaving(const RequestRecord& aRequest)
{
  if (!aRequest.lease) {
    return mServers.IsLeaving(aRequest.serverIndex, aRequest.server);
  }
  const BorrowedLease* lease = mBorrower.Find(*aRequest.lease);
  return lease && lease->revoked;
}

void
Router::Impl::AttemptEnded(RequestId aRequest,
                           uint32_t aAttempt,
                           const AttemptOutcome& aOutcome,
                           Millis aNow,
                           Effects& aEffects)
{
  auto found = mRequests.find(aRequest);
  if (found == mRequests.end() ||
      found->second.state != RequestState::kRunning ||
      found->second.attempts != aAttempt) {
    return;
  }
  RequestRecord& request = found->second;
  uint32_t service = request.service;
  if (MayHaveCrashed(aOutcome, IsServerLeaving(request))) {
    request.lostServers.push_back(request.server);
  }
  ReleaseSlot(request, aOutcome, aNow, aEffects);
  if (aOutcome.result == AttemptResult::kAnswered) {
    mServices[service].waitEstimator.AddSample(aNow - request.grantedAt);
    EndRequest(aRequest, Verdict::kAnswered, Reason::kNone, aEffects);
  } else {
    OnAttemptFailed(aRequest, request, aOutcome, aNow, aEffects);
  }
  ServeQueue(service, aNow, aEffects);
}

void
Router::Impl::OnAttemptFailed(RequestId aId,
                              RequestRecord& aRequest,
                              const AttemptOutcome& aOutcome,
                              Millis aNow,
                              Effects& aEffects)
{
  Verdict last = VerdictOf(aOutcome.result);
  aRequest.verdict = mOptions.testOnly.alwaysReportNotRun
                       ? Verdict::kNotRun
                       : CombineVerdicts(aRequest.verdict, last);
  aRequest.triedServers.push_back(std::move(aRequest.server));
  aRequest.server = nullptr;
  const ServiceState& service = mServices[aRequest.service];
  FailedAttempt failed;
  failed.outcome = aOutcome;
  failed.attempt = aRequest.attempts;
  failed.repeatable = aRequest.repeatable;
  failed.lostServers = static_cast<uint32_t>(aRequest.lostServers.size());
  failed.deadline = aRequest.deadline;
  failed.hasOtherServer =
    mServers.HasUntriedServer(aRequest.service, aRequest.triedServers) ||
    (service.avoidsEvacuated
       ? mPeers.HasServersOutsideEvacuated(service.config.id, aNow)
       : mPeers.HasServers(service.config.id, aNow));
  Reason reason = CheckRetry(failed, mOptions, aNow);
  if (reason == Reason::kNone && !mRetryBudget.TryTake()) {
    reason = Reason::kRetryBudget;
  }
  if (reason == Reason::kNone) {
    Millis at = aNow + Backoff(aRequest.attempts, mOptions, mRandom);
    if (at < aRequest.deadline) {
      ++mCounters.retries;
      ++mCounters.retriesByReason.at(
        static_cast<std::size_t>(RetryReasonOf(aOutcome.result)));
      aRequest.state = RequestState::kBackoff;
      mTimers.push(Timer{ at, aId });
      return;
    }
    reason = Reason::kDeadlinePassed;
  }
  EndRequest(aId, aRequest.verdict, reason, aEffects);
}

void
Router::Impl::AbortRequest(RequestId aRequest,
                           bool aSent,
                           Reason aReason,
                           Millis aNow,
                           Effects& aEffects)
{
  auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  RequestRecord& request = found->second;
  uint32_t service = request.service;
  Verdict verdict = request.verdict;
  if (request.state == RequestState::kQueued) {
    RemoveFromQueue(aRequest, request);
  } else if (request.state == RequestState::kRunning) {
    AttemptOutcome outcome;
    outcome.result = AttemptResult::kAbandoned;
    verdict =
      CombineVerdicts(verdict, aSent ? Verdict::kMayHaveRun : Verdict::kNotRun);
    ReleaseSlot(request, outcome, aNow, aEffects);
  }
  EndRequest(aRequest, verdict, aReason, aEffects);
  ServeQueue(service, aNow, aEffects);
}

void
Router::Impl::EndRequest(RequestId aId,
                         Verdict aVerdict,
                         Reason aReason,
                         Effects& aEffects)
{
  auto found = mRequests.find(aId);
  RequestRecord& request = found->second;
  WorkspaceView& view = mWorkspaces[request.workspace].view;
  --view.inProgress;
  if (aReason == Reason::kNone) {
    ++mCounters.answered;
  } else {
    ++mCounters.endedByReason.at(static_cast<std::size_t>(aReason));
    view.refused += aVerdict == Verdict::kNotRun ? 1 : 0;
  }
  if (request.key) {
    mRequestByKeyNonce.erase(request.key->Holder().nonce);
    SendKeyOutcome(*request.key, aVerdict, aEffects);
  }
  RequestEnd end{ aId, aVerdict, aReason };
  if (aReason == Reason::kServersLost) {
    end.lostServers = std::move(request.lostServers);
  }
  mRequests.erase(found);
  aEffects.endedRequests.push_back(std::move(end));
}

void
Router::Impl::OnRequestTimer(RequestId aRequest, Millis aNow, Effects& aEffects)
{
  auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  RequestRecord& request = found->second;
  switch (request.state) {
    case RequestState::kRecordingKey:
      AdvanceKeyRecording(aRequest, /*aResend=*/true, aNow, aEffects);
      return;
    case RequestState::kBackoff:
      Enqueue(aRequest, request);
      mTimers.push(Timer{ request.deadline, aRequest });
      ServeQueue(request.service, aNow, aEffects);
      return;
    case RequestState::kQueued:
      if (aNow >= request.deadline) {
        RemoveFromQueue(aRequest, request);
        EndRequest(
          aRequest, request.verdict, Reason::kDeadlinePassed, aEffects);
      }
      return;
    case RequestState::kRunning:
      // The request path enforces the time limit of the attempt.
      return;
  }
}

} // namespace limpetwood::routing
