// The decisions of the request path on one instance.
//
// `Router` has no clock, socket or thread. Each call passes the time and
// returns the effects that the caller carries out: attempts to make, requests
// that ended, messages to other instances. `now` never decreases.
//
//   Effects effects = router.Admit(info, now);
//   for (const Grant& it : effects.grants) { send to it.server }
//   ...
//   Carry out router.AttemptEnded(it.request, it.attempt, outcome, now).
//
// A request handed to `Admit` appears in exactly one `Ended`, in that call's
// effects or in a later one's. After `Ended` the router no longer knows it.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/announcement.h"
#include "routing/messages.h"
#include "routing/options.h"
#include "routing/request.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace limpetwood::routing {

struct Effects
{
  std::vector<Grant> grants{};
  std::vector<Ended> endedRequests{};
  std::vector<SendToPeer> messages{};
  std::vector<ConnectionLimit> connectionLimits{};
};

struct AnnounceResult
{
  AnnounceStatus status = AnnounceStatus::kAccepted;
  // When to announce again; shorter than the usual second just before a new
  // home instance may begin to use the server.
  Millis renewAfter{};
  // How long the server stays known without a renewal.
  Millis timeToLive{};
  Effects effects{};
};

struct RouterCounters
{
  uint64_t admitted = 0;
  uint64_t answered = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  // Ends without an answer, by reason.
  std::array<uint64_t, static_cast<std::size_t>(Reason::kCount)>
    endedByReason{};
  std::array<uint64_t, static_cast<std::size_t>(RetryReason::kCount)>
    retriesByReason{};
  uint64_t leasesBorrowed = 0;
  uint64_t leasesLent = 0;
  // Lent leases that ended without a return.
  uint64_t leasesExpired = 0;
  uint64_t ejections = 0;
  uint64_t readmissions = 0;
  // Ejections left out because half of the zone's pool was ejected.
  uint64_t ejectionsWithheld = 0;
  uint64_t serversExpired = 0;
  uint64_t staleAnnouncements = 0;
  uint64_t keysRecorded = 0;
  // Messages from instances that are not declared, or out of range.
  uint64_t messagesIgnored = 0;
};

struct ServerView
{
  ServerIdentity identity{};
  uint32_t slots = 0;
  // Attempts of this instance, slots lent to others, and other work that the
  // server reported.
  uint32_t localAttempts = 0;
  uint32_t lentSlots = 0;
  uint32_t unattributedBusy = 0;
  bool leaving = false;
  bool ejected = false;
  // Grants nothing yet, because another instance may have been its home.
  bool takeoverPending = false;
  double latencyMs = 0;
  // Since the last announcement.
  Millis age{};
};

struct PeerView
{
  InstanceId instance{};
  ZoneId zone{};
  // Empty digest and `fresh == false` until it was heard of.
  bool fresh = false;
  uint32_t servers = 0;
  uint32_t freeSlots = 0;
};

struct WorkspaceView
{
  WorkspaceId workspace{};
  uint32_t inProgress = 0;
  uint32_t queued = 0;
  uint64_t admitted = 0;
  uint64_t refused = 0;
};

class Router
{
public:
  // `aSeed` differs between starts of the same instance; lease numbers and key
  // holders derive from it.
  Router(RouterOptions aOptions,
         InstanceId aSelf,
         ZoneId aZone,
         uint64_t aSeed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Until the first call, every request is refused with `kUnknownService`.
  // Requests in progress for a removed service or workspace continue.
  Effects ConfigurationChanged(const RoutingConfig& aConfig, Millis aNow);

  // From a backend server whose home is this instance.
  AnnounceResult Announce(const ServerAnnouncement& aAnnouncement, Millis aNow);

  // Precondition: no request with this id is in progress.
  Effects Admit(const RequestInfo& aRequest, Millis aNow);

  // Ignored unless this attempt of the request is in progress.
  Effects AttemptEnded(RequestId aRequest,
                       uint32_t aAttempt,
                       const AttemptOutcome& aOutcome,
                       Millis aNow);

  // The caller went away. An attempt in progress is to be closed by the
  // request path; `aSent` says whether bytes of it were handed to the kernel.
  Effects Cancelled(RequestId aRequest, bool aSent, Millis aNow);

  Effects PeerMessageReceived(const InstanceId& aFrom,
                              const PeerMessage& aMessage,
                              Millis aNow);

  // Due at `NextDeadline()`, or at any other time.
  Effects Tick(Millis aNow);

  // When `Tick` has something to do; `Millis::Max()` if never.
  Millis NextDeadline() const;

  // Refuses new requests and announcements; what was accepted continues.
  Effects Drain(Millis aNow);

  // No request is in progress.
  bool Idle() const;

  // Operator's decision: ends every request in progress with `kShutdown`.
  Effects EndAllRequests(Millis aNow);

  const RouterCounters& Counters() const;
  std::vector<ServerView> Servers(Millis aNow) const;
  std::vector<PeerView> Peers(Millis aNow) const;
  std::vector<WorkspaceView> Workspaces() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace limpetwood::routing
