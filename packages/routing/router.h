// Routing decisions of one instance: admission, queueing, choice of the backend
// server, retries, lending and borrowing of slots between instances, and
// idempotency keys.
//
// `Router` has no clock, socket or thread. Each call takes the current time and
// returns the effects that the caller must carry out: attempts to start,
// requests that ended and messages to other instances. `aNow` must never
// decrease.
//
//   Effects effects = router.Admit(info, now);
//   for (const Grant& it : effects.grants) { send to it.server }
//   ...
//   Carry out router.AttemptEnded(it.request, it.attempt, outcome, now).
//
// A request passed to `Admit` appears in exactly one `RequestEnd`, returned by
// that call or a later one. Afterwards the router no longer knows the request.

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
  std::vector<RequestEnd> endedRequests{};
  std::vector<SendToPeer> messages{};
  std::vector<ConnectionLimit> connectionLimits{};
};

struct AnnounceResult
{
  AnnounceStatus status = AnnounceStatus::kAccepted;
  // Time until the next announcement. Shorter than the regular interval just
  // before a new home instance may start to use the server.
  Millis renewAfter{};
  // Time for which the server stays known without a further announcement.
  Millis timeToLive{};
  Effects effects{};
};

struct RouterCounters
{
  // Requests passed to `Admit`, including refused ones.
  uint64_t admitted = 0;
  uint64_t answered = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  // Requests that ended without an answer, by reason.
  std::array<uint64_t, static_cast<std::size_t>(Reason::kCount)>
    endedByReason{};
  std::array<uint64_t, static_cast<std::size_t>(RetryReason::kCount)>
    retriesByReason{};
  uint64_t leasesBorrowed = 0;
  uint64_t leasesLent = 0;
  // Lent leases that expired without being returned.
  uint64_t leasesExpired = 0;
  uint64_t ejections = 0;
  uint64_t readmissions = 0;
  // Ejections not carried out because they would exceed the limit on ejected
  // servers per zone, normally half of the pool.
  uint64_t ejectionsWithheld = 0;
  uint64_t serversExpired = 0;
  uint64_t staleAnnouncements = 0;
  uint64_t keysRecorded = 0;
  // Messages from undeclared instances or with values out of range.
  uint64_t messagesIgnored = 0;
};

struct ServerView
{
  ServerIdentity identity{};
  uint32_t slots = 0;
  // Slots in use: attempts of this instance, slots lent to other instances, and
  // work reported by the server that is neither.
  uint32_t localAttempts = 0;
  uint32_t lentSlots = 0;
  uint32_t unattributedBusy = 0;
  bool leaving = false;
  bool ejected = false;
  // No slots are granted yet, because another instance may still be granting
  // them as the former home.
  bool takeoverPending = false;
  double latencyMs = 0;
  // Time since the last announcement.
  Millis age{};
};

struct PeerView
{
  InstanceId instance{};
  ZoneId zone{};
  // Whether a recent digest is known; otherwise the counts are out of date or
  // zero.
  bool fresh = false;
  uint32_t servers = 0;
  uint32_t freeSlots = 0;
};

struct WorkspaceView
{
  WorkspaceId workspace{};
  uint32_t inProgress = 0;
  uint32_t queued = 0;
  // Requests that passed the checks on arrival; they may be refused later.
  uint64_t admitted = 0;
  // Requests that ended with the verdict `kNotRun`.
  uint64_t refused = 0;
};

class Router
{
public:
  // `aSeed` must differ between starts of the same instance, since lease ids
  // and key holders derive from it.
  Router(RouterOptions aOptions,
         InstanceId aSelf,
         ZoneId aZone,
         uint64_t aSeed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Until the first call, every request is refused with `kUnknownService`.
  // Requests in progress continue if their service or workspace is removed.
  Effects ConfigurationChanged(const RoutingConfig& aConfig, Millis aNow);

  // Handles an announcement of a backend server whose home is this instance.
  AnnounceResult Announce(const ServerAnnouncement& aAnnouncement, Millis aNow);

  // Admits, queues or refuses a request. Precondition: no request with this id
  // is in progress.
  Effects Admit(const RequestInfo& aRequest, Millis aNow);

  // Reports the end of an attempt. Ignored unless this attempt of the request
  // is in progress.
  Effects AttemptEnded(RequestId aRequest,
                       uint32_t aAttempt,
                       const AttemptOutcome& aOutcome,
                       Millis aNow);

  // Ends a request whose caller disconnected. The request path must close an
  // attempt in progress; `aSent` tells whether bytes of it were handed to the
  // kernel.
  Effects Cancelled(RequestId aRequest, bool aSent, Millis aNow);

  Effects PeerMessageReceived(const InstanceId& aFrom,
                              const PeerMessage& aMessage,
                              Millis aNow);

  // Adopts the evacuated zones as of `aEvacuated.index`, unless newer ones are
  // known. While another zone has a server of a service, no new request is sent
  // to its servers in evacuated zones. Tells the other instances.
  Effects SetEvacuatedZones(const EvacuatedZones& aEvacuated, Millis aNow);

  // Handles timeouts and periodic work. Must be called at `NextDeadline()`; may
  // be called at any time.
  Effects Tick(Millis aNow);

  // Time at which `Tick` must be called next; `Millis::Max()` if never.
  Millis NextDeadline() const;

  // Refuses new requests and announcements from now on; accepted requests
  // continue.
  Effects Drain(Millis aNow);

  // True if no request is in progress.
  bool Idle() const;

  // Ends every request in progress with the reason `kShutdown`.
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
