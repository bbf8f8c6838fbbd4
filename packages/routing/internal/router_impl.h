// The state and the internal functions of `Router`, shared by the files that
// implement it.
//
// router.cc            public interface, configuration, views
// router_requests.cc   admission, queueing, grants and ends of requests
// router_servers.cc    announcements and lending of slots
// router_peers.cc      digests and borrowing of slots
// router_keys.cc       idempotency keys

#pragma once

#include "base/random.h"
#include "routing/admission.h"
#include "routing/fair_queue.h"
#include "routing/key_owners.h"
#include "routing/key_recorder.h"
#include "routing/key_table.h"
#include "routing/peer_table.h"
#include "routing/retry_policy.h"
#include "routing/router.h"
#include "routing/server_table.h"
#include "routing/slot_borrower.h"
#include "routing/slot_lender.h"

#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace limpetwood::routing {

enum class RequestState : uint8_t
{
  kRecordingKey,
  kQueued,
  kBackoff,
  kRunning,
};

struct RequestRecord
{
  // Indices into `Router::Impl::mServices` and `mWorkspaces`.
  uint32_t service = 0;
  WorkspaceIndex workspace = 0;
  Priority priority = Priority::kNormal;
  RequestState state = RequestState::kQueued;
  bool repeatable = true;
  uint32_t attempts = 0;
  Millis deadline{};
  // Combined verdict of the attempts before the current one.
  Verdict verdict = Verdict::kNotRun;
  std::vector<ServerRef> triedServers{};
  // The tried servers that the request may have crashed.
  std::vector<ServerRef> lostServers{};
  // The server of the current attempt, which uses a slot of a server in
  // `mServers`, or a borrowed slot if `lease` is set.
  ServerRef server{};
  ServerIndex serverIndex = 0;
  std::optional<LeaseId> lease{};
  Millis grantedAt{};
  std::unique_ptr<KeyRecorder> key{};
  Millis keyDeadline{};
};

struct ServiceState
{
  explicit ServiceState(FairQueue::Options aQueueOptions)
    : queue(aQueueOptions)
  {
  }

  ServiceConfig config{};
  bool declared = false;
  FairQueue queue;
  WaitEstimator waitEstimator{};
  // As of the last housekeeping or change of the servers.
  ServerTable::Capacity capacity{};
  // Turns due to instances that wait to borrow, as a fraction of one turn.
  double borrowerCredit = 0;
  // Servers already tried by a queued retry, excluded from borrow requests.
  std::vector<ServerId> excludedServers{};
  // After the last server was removed, digests still list the service until
  // this time.
  Millis listEmptyUntil{};
  bool digestPending = false;
  // Servers of evacuated zones get no new requests, because another zone has a
  // server.
  bool avoidsEvacuated = false;
};

struct WorkspaceState
{
  WorkspaceConfig config{};
  bool declared = false;
  uint32_t hash = 0;
  WorkspaceView view{};
};

class Router::Impl
{
public:
  Impl(RouterOptions aOptions, InstanceId aSelf, ZoneId aZone, uint64_t aSeed);

  // --- router.cc ---
  void Configure(const RoutingConfig& aConfig, Millis aNow);
  void Tick(Millis aNow, Effects& aEffects);
  Millis NextDeadline() const;

  // --- router_requests.cc ---
  void Admit(const RequestInfo& aInfo, Millis aNow, Effects& aEffects);
  void AttemptEnded(RequestId aRequest,
                    uint32_t aAttempt,
                    const AttemptOutcome& aOutcome,
                    Millis aNow,
                    Effects& aEffects);
  void AbortRequest(RequestId aRequest,
                    bool aSent,
                    Reason aReason,
                    Millis aNow,
                    Effects& aEffects);
  // Gives free slots to queued requests and waiting borrowers; borrows slots if
  // requests remain in the queue.
  void ServeQueue(uint32_t aService, Millis aNow, Effects& aEffects);
  // Uses a lease for a queued request, or returns it. `aLastOutcome`: the
  // outcome of the attempt that used it before, or null.
  void UseLease(const BorrowedLease& aLease,
                const AttemptOutcome* aLastOutcome,
                Millis aNow,
                Effects& aEffects);
  // Grants a slot to an admitted request, or queues or refuses it.
  void GrantOrEnqueue(RequestId aId,
                      RequestRecord& aRequest,
                      Millis aNow,
                      Effects& aEffects);
  void Enqueue(RequestId aId, RequestRecord& aRequest);
  void EndRequest(RequestId aId,
                  Verdict aVerdict,
                  Reason aReason,
                  Effects& aEffects);
  void OnRequestTimer(RequestId aRequest, Millis aNow, Effects& aEffects);

  // --- router_servers.cc ---
  // Adopts evacuated zones that are newer than the known ones. Returns false
  // for others.
  bool SetEvacuatedZones(const EvacuatedZones& aEvacuated,
                         Millis aNow,
                         Effects& aEffects);
  // Decides for each service whether servers of evacuated zones are avoided.
  void UpdateAvoidedServers(Millis aNow, Effects& aEffects);
  bool IsAvoided(uint32_t aService, const ServerIdentity& aServer) const
  {
    return mServices[aService].avoidsEvacuated &&
           mEvacuated.zones.contains(aServer.zone);
  }
  AnnounceResult Announce(const ServerAnnouncement& aAnnouncement, Millis aNow);
  // Expires servers, leases, keys and borrow requests, and updates the
  // capacities of the services.
  void Housekeeping(Millis aNow, Effects& aEffects);
  void OnBorrowRequest(const InstanceId& aFrom,
                       const BorrowRequest& aRequest,
                       Millis aNow,
                       Effects& aEffects);
  // Lends one slot to the first waiting borrower. Returns false if there is no
  // borrower, or no slot that it can use.
  bool LendToWaiting(uint32_t aService, Millis aNow, Effects& aEffects);
  void ServeAllQueues(Millis aNow, Effects& aEffects);
  void OnLeasesReturned(const InstanceId& aFrom,
                        const ReturnLeases& aMessage,
                        Millis aNow,
                        Effects& aEffects);
  void OnLeasesRenewed(const InstanceId& aFrom,
                       const RenewLeases& aMessage,
                       Millis aNow);

  // --- router_peers.cc ---
  void OnPeerMessage(const InstanceId& aFrom,
                     const PeerMessage& aMessage,
                     Millis aNow,
                     Effects& aEffects);
  void OnBorrowReply(const InstanceId& aFrom,
                     const BorrowReply& aReply,
                     Millis aNow,
                     Effects& aEffects);
  void BorrowSlots(uint32_t aService, Millis aNow, Effects& aEffects);
  void ReturnLease(const BorrowedLease& aLease,
                   const AttemptOutcome* aOutcome,
                   Effects& aEffects);
  void RenewBorrowedLeases(Millis aNow, Effects& aEffects);
  void SendDigest(bool aDelta, Millis aNow, Effects& aEffects);
  // Marks the service as changed and sends a delta now or as soon as
  // `deltaInterval` allows.
  void OnServersChanged(uint32_t aService, Millis aNow, Effects& aEffects);
  void Broadcast(const PeerMessage& aMessage, Effects& aEffects) const;

  // --- router_keys.cc ---
  void StartKeyRecording(RequestId aId,
                         RequestRecord& aRequest,
                         const RequestInfo& aInfo,
                         Millis aNow,
                         Effects& aEffects);
  void SendKeyRecords(RequestRecord& aRequest, Millis aNow, Effects& aEffects);
  void OnKeyReply(const InstanceId& aFrom,
                  const KeyReply& aReply,
                  Millis aNow,
                  Effects& aEffects);
  // Dispatches or ends a request once the replies of the key owners decide it
  // or the recording has timed out. Until then, `aResend` sends unanswered key
  // records again.
  void AdvanceKeyRecording(RequestId aId,
                           bool aResend,
                           Millis aNow,
                           Effects& aEffects);
  void SendKeyOutcome(const KeyRecorder& aKey,
                      Verdict aVerdict,
                      Effects& aEffects);

  RouterOptions mOptions;
  InstanceId mSelf;
  ZoneId mZone;
  Random mRandom;
  RouterCounters mCounters;
  ServerTable mServers;
  PeerTable mPeers;
  SlotLender mLender;
  SlotBorrower mBorrower;
  RetryBudget mRetryBudget;
  KeyOwners mKeyOwners;
  KeyTable mKeys;
  std::unordered_map<RequestId, RequestRecord> mRequests;
  std::unordered_map<ServiceId, uint32_t> mServiceIndex;
  std::vector<ServiceState> mServices;
  std::unordered_map<WorkspaceId, WorkspaceIndex> mWorkspaceIndex;
  std::vector<WorkspaceState> mWorkspaces;
  // The request of each key holder's nonce.
  std::unordered_map<uint64_t, RequestId> mRequestByKeyNonce;

  struct Timer
  {
    Millis at;
    RequestId request;
    bool operator>(const Timer& aOther) const { return at > aOther.at; }
  };
  // Queue deadlines, ends of backoffs and key timeouts. A timer has no effect
  // if its request has ended or changed its state.
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> mTimers;

  Millis mNextHousekeeping{};
  Millis mNextDigest{};
  Millis mLastDelta{};
  bool mDeltaPending = false;
  bool mLastDigestEmpty = true;
  Millis mNextRenewal{};
  uint64_t mDigestVersion = 0;
  // Index of the service at which the next full digest starts.
  uint32_t mDigestOffset = 0;
  uint32_t mInstanceCount = 1;
  bool mDraining = false;
  EvacuatedZones mEvacuated;

private:
  Reason CheckAdmission(const RequestInfo& aInfo,
                        uint32_t& aService,
                        WorkspaceIndex& aWorkspace,
                        Millis aNow) const;
  bool IsOverQuota(const WorkspaceState& aWorkspace, Millis aNow) const;
  Reason CheckQueueAdmission(const RequestRecord& aRequest,
                             Millis aNow,
                             std::optional<RequestId>& aDisplaced) const;
  void RemoveFromQueue(RequestId aId, const RequestRecord& aRequest);
  // True if the request is not expected to be answered before its deadline.
  bool CannotMeetDeadline(const RequestRecord& aRequest, Millis aNow) const;
  void ReleaseSlot(RequestRecord& aRequest,
                   const AttemptOutcome& aOutcome,
                   Millis aNow,
                   Effects& aEffects);
  void AddGrant(RequestId aId,
                RequestRecord& aRequest,
                uint32_t aConnections,
                Millis aNow,
                Effects& aEffects);
  bool GrantLocalSlot(RequestId aId,
                      RequestRecord& aRequest,
                      Millis aNow,
                      Effects& aEffects);
  void OnAttemptFailed(RequestId aId,
                       RequestRecord& aRequest,
                       const AttemptOutcome& aOutcome,
                       Millis aNow,
                       Effects& aEffects);
  // True if the server of the current attempt takes no new work, because it is
  // leaving or, for a borrowed slot, its home instance has revoked the lease.
  bool IsServerLeaving(const RequestRecord& aRequest);
  bool WasTried(const RequestRecord& aRequest, const ServerId& aServer) const;
  void RecordLease(const LeaseKey& aKey,
                   ServerIndex aServer,
                   Effects& aEffects);
  // `aRevoke`: also sends the borrowers a revocation.
  void ForgetEndedLeases(const std::vector<LentLease>& aEndedLeases,
                         bool aRevoke,
                         Effects& aEffects);
  LeaseGrant MakeLeaseGrant(LeaseId aLease,
                            ServerIndex aServer,
                            Millis aNow) const;
  std::vector<ServiceDigest> DigestServices(bool aDelta, Millis aNow);
  std::vector<WorkspaceUse> DigestWorkspaces() const;
};

} // namespace limpetwood::routing
