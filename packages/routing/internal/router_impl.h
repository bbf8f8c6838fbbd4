// State of `Router`, shared by the files that implement it.
//
// router.cc            facade, configuration, views
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
  uint32_t service = 0;
  WorkspaceIndex workspace = 0;
  Priority priority = Priority::kNormal;
  RequestState state = RequestState::kQueued;
  bool repeatable = true;
  uint32_t attempts = 0;
  Millis deadline{};
  // Of the attempts before the present one.
  Verdict verdict = Verdict::kNotRun;
  std::vector<ServerRef> tried{};
  // The present attempt: an own slot, or a lease if its number is set.
  ServerRef server{};
  ServerIndex serverIndex = 0;
  std::optional<LeaseId> lease{};
  Millis grantedAt{};
  std::unique_ptr<KeyRecorder> key{};
  Millis keyUntil{};
};

struct ServiceState
{
  explicit ServiceState(FairQueue::Rules aRules)
    : queue(aRules)
  {
  }

  ServiceConfig config{};
  bool declared = false;
  FairQueue queue;
  WaitEstimator waits{};
  // As of the last housekeeping.
  ServerTable::Capacity capacity{};
  // Turns owed to instances that wait to borrow, in fractions of one.
  double borrowerCredit = 0;
  // Servers that a waiting retry must avoid.
  std::vector<ServerId> avoid{};
  // In digests until then, although it has no servers any more.
  Millis announceEmptyUntil{};
  bool changed = false;
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
  void Abandon(RequestId aRequest,
               bool aSent,
               Reason aReason,
               Millis aNow,
               Effects& aEffects);
  // Hands free slots to waiting requests and instances.
  void Serve(uint32_t aService, Millis aNow, Effects& aEffects);
  // Gives a lease to a waiting request, or returns it. `aLast`: the end of the
  // attempt that used it before, or null.
  void ServeLease(const HeldLease& aLease,
                  const AttemptOutcome* aLast,
                  Millis aNow,
                  Effects& aEffects);
  // Grants a slot at once or queues an admitted request.
  void Dispatch(RequestId aId,
                RequestRecord& aRequest,
                Millis aNow,
                Effects& aEffects);
  void Enqueue(RequestId aId, RequestRecord& aRequest);
  void End(RequestId aId, Verdict aVerdict, Reason aReason, Effects& aEffects);
  void RequestTimer(RequestId aRequest, Millis aNow, Effects& aEffects);

  // --- router_servers.cc ---
  AnnounceResult Announce(const ServerAnnouncement& aAnnouncement, Millis aNow);
  void Housekeeping(Millis aNow, Effects& aEffects);
  void LendTo(const InstanceId& aFrom,
              const BorrowRequest& aRequest,
              Millis aNow,
              Effects& aEffects);
  // Lends one slot to the instance that waits longest.
  bool LendToWaiting(uint32_t aService, Millis aNow, Effects& aEffects);
  void ServeAll(Millis aNow, Effects& aEffects);
  void TakeBack(const InstanceId& aFrom,
                const ReturnLeases& aMessage,
                Millis aNow,
                Effects& aEffects);
  void Renew(const InstanceId& aFrom, const RenewLeases& aMessage, Millis aNow);

  // --- router_peers.cc ---
  void Receive(const InstanceId& aFrom,
               const PeerMessage& aMessage,
               Millis aNow,
               Effects& aEffects);
  void BorrowReplied(const InstanceId& aFrom,
                     const BorrowReply& aReply,
                     Millis aNow,
                     Effects& aEffects);
  void Borrow(uint32_t aService, Millis aNow, Effects& aEffects);
  void ReturnLease(const HeldLease& aLease,
                   const AttemptOutcome* aOutcome,
                   Effects& aEffects);
  void RenewHeld(Millis aNow, Effects& aEffects);
  void SendDigest(bool aDelta, Millis aNow, Effects& aEffects);
  // Sends a delta now or as soon as the interval allows.
  void ServersChanged(uint32_t aService, Millis aNow, Effects& aEffects);
  void Broadcast(const PeerMessage& aMessage, Effects& aEffects) const;

  // --- router_keys.cc ---
  void StartKey(RequestId aId,
                RequestRecord& aRequest,
                const RequestInfo& aInfo,
                Millis aNow,
                Effects& aEffects);
  void AskOwners(RequestRecord& aRequest, Millis aNow, Effects& aEffects);
  void KeyReplied(const InstanceId& aFrom,
                  const KeyReply& aReply,
                  Millis aNow,
                  Effects& aEffects);
  void CheckKey(RequestId aId, bool aTimer, Millis aNow, Effects& aEffects);
  void RecordOutcome(const KeyRecorder& aKey,
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
  // Which request an idempotency key's nonce belongs to.
  std::unordered_map<uint64_t, RequestId> mKeyRequests;

  struct Timer
  {
    Millis at;
    RequestId request;
    bool operator>(const Timer& aOther) const { return at > aOther.at; }
  };
  // Deadlines in the queue, ends of backoff and key timeouts. A timer whose
  // request has moved on does nothing.
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> mTimers;

  Millis mNextHousekeeping{};
  Millis mNextDigest{};
  Millis mLastDelta{};
  bool mDeltaPending = false;
  bool mLastDigestEmpty = true;
  Millis mNextRenewal{};
  uint64_t mDigestVersion = 0;
  uint32_t mDigestOffset = 0;
  uint32_t mInstances = 1;
  bool mDraining = false;

private:
  Reason CheckAdmission(const RequestInfo& aInfo,
                        uint32_t& aService,
                        WorkspaceIndex& aWorkspace,
                        Millis aNow) const;
  bool OverQuota(const WorkspaceState& aWorkspace, Millis aNow) const;
  Reason CheckQueue(const RequestRecord& aRequest,
                    Millis aNow,
                    std::optional<RequestId>& aDisplaced) const;
  void LeaveQueue(RequestId aId, const RequestRecord& aRequest);
  // Cannot be answered within its deadline any more.
  bool IsHopeless(const RequestRecord& aRequest, Millis aNow) const;
  void Release(RequestRecord& aRequest,
               const AttemptOutcome& aOutcome,
               Millis aNow,
               Effects& aEffects);
  void Grant(RequestId aId,
             RequestRecord& aRequest,
             uint32_t aConnections,
             Millis aNow,
             Effects& aEffects);
  bool GrantOwn(RequestId aId,
                RequestRecord& aRequest,
                Millis aNow,
                Effects& aEffects);
  void Failed(RequestId aId,
              RequestRecord& aRequest,
              const AttemptOutcome& aOutcome,
              Millis aNow,
              Effects& aEffects);
  bool IsAvoided(const RequestRecord& aRequest, const ServerId& aServer) const;
  void NoteLent(const LeaseKey& aKey, ServerIndex aServer, Effects& aEffects);
  void ReturnEnded(const std::vector<LentLease>& aEnded,
                   bool aRevoke,
                   Effects& aEffects);
  LeaseGrant GrantOf(LeaseId aLease, ServerIndex aServer, Millis aNow) const;
  std::vector<ServiceDigest> DigestServices(bool aDelta, Millis aNow);
  std::vector<WorkspaceUse> DigestWorkspaces() const;
};

} // namespace limpetwood::routing
