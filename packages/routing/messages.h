// Messages between the routers of two instances.
//
// The protocol tolerates loss, duplication, delay and reordering of all of
// them.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/verdict.h"
#include "routing/request.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace limpetwood::routing {

using LeaseId = StrongInt<struct LeaseIdTag>;

// One service of a digest.
struct ServiceDigest
{
  ServiceId service{};
  // Servers whose home is the sender and that accept new work, and their free
  // slots.
  uint32_t servers = 0;
  uint32_t freeSlots = 0;
  // Of `servers`, those in evacuated zones.
  uint32_t evacuatedServers = 0;

  bool operator==(const ServiceDigest&) const = default;
};

// Requests of one workspace in progress on the sender, for quotas that span
// instances.
struct WorkspaceUse
{
  // Low 32 bits of the hash of the workspace's id.
  uint32_t workspaceHash = 0;
  uint32_t requests = 0;

  bool operator==(const WorkspaceUse&) const = default;
};

// The evacuated zones as of an index that increases with each change; index 0
// if no zone has ever been evacuated.
struct EvacuatedZones
{
  uint64_t index = 0;
  std::set<ZoneId> zones{};

  bool operator==(const EvacuatedZones&) const = default;
};

// The free slots that a home instance offers to others, and the requests of
// each workspace that are in progress on it. Its size is bounded and does not
// depend on the number of servers. A delta lists only the services that
// changed.
struct Digest
{
  // Increases with each digest, so that an older digest that arrives late is
  // ignored.
  uint64_t version = 0;
  bool delta = false;
  std::vector<ServiceDigest> services{};
  std::vector<WorkspaceUse> workspaces{};
  // Only in full digests.
  EvacuatedZones evacuated{};

  bool operator==(const Digest&) const = default;
};

// Announces that the sender is now the home instance of a server and the
// receiver no longer is.
struct HomeClaim
{
  ServerId server{};
  Incarnation incarnation{};

  bool operator==(const HomeClaim&) const = default;
};

// Asks a home instance for up to `count` slots of a service.
struct BorrowRequest
{
  // Id of the first lease; further leases are numbered consecutively. Ids are
  // unique per borrower.
  LeaseId firstLease{};
  uint32_t count = 1;
  ServiceId service{};
  // Servers that the waiting request has already tried.
  std::vector<ServerId> exclude{};

  bool operator==(const BorrowRequest&) const = default;
};

// A lease on one slot of a server, valid until it is returned or expires.
struct LeaseGrant
{
  LeaseId lease{};
  ServerIdentity server{};
  // Time after the sending of the borrow request within which the borrower may
  // start an attempt.
  Millis startWithin{};
  // Connections to the server that the lease allows the borrower.
  uint32_t connections = 0;

  bool operator==(const LeaseGrant&) const = default;
};

// May carry fewer leases than requested; the remaining ones follow in further
// replies to the same request as slots become free. Empty if the sender lends
// no slots of the service.
struct BorrowReply
{
  LeaseId firstLease{};
  std::vector<LeaseGrant> leases{};

  bool operator==(const BorrowReply&) const = default;
};

struct ReturnedLease
{
  LeaseId lease{};
  // Outcome of the last attempt on the lease, if any, for the health statistics
  // of the home instance.
  bool used = false;
  AttemptResult result = AttemptResult::kAnswered;
  bool serverError = false;
  Millis latency{};

  bool operator==(const ReturnedLease&) const = default;
};

struct ReturnLeases
{
  std::vector<ReturnedLease> leases{};

  bool operator==(const ReturnLeases&) const = default;
};

// Extends leases that are in use.
struct RenewLeases
{
  std::vector<LeaseId> leases{};

  bool operator==(const RenewLeases&) const = default;
};

// The leases must not be used for a new attempt.
struct RevokeLeases
{
  std::vector<LeaseId> leases{};

  bool operator==(const RevokeLeases&) const = default;
};

// Identifies the request that records a key. The nonce makes it unique across
// restarts of the instance.
struct KeyHolder
{
  InstanceId instance{};
  uint64_t nonce = 0;

  auto operator<=>(const KeyHolder&) const = default;
};

struct KeyRecord
{
  IdempotencyKey key{};
  KeyHolder holder{};
  // Ids of the instance sets under which the sender determined the owners.
  std::vector<uint64_t> sets{};

  bool operator==(const KeyRecord&) const = default;
};

enum class KeyStatus : uint8_t
{
  // The key is recorded for this holder, possibly by an earlier copy of the
  // message.
  kRecorded,
  // The key is already recorded for another holder.
  kAlreadyStarted,
  // The owner cannot decide, because it restarted less than `keyLifetime` ago,
  // its table is full, or the sender does not know the oldest instance set in
  // force at the owner.
  kAbstain,
};

struct KeyReply
{
  IdempotencyKey key{};
  KeyHolder holder{};
  KeyStatus status = KeyStatus::kAbstain;
  // Verdict of the other holder's request, for `kAlreadyStarted`.
  Verdict verdict = Verdict::kMayHaveRun;

  bool operator==(const KeyReply&) const = default;
};

// Reports the outcome of the request that holds the key. `kNotRun` releases the
// key.
struct KeyOutcome
{
  IdempotencyKey key{};
  KeyHolder holder{};
  Verdict verdict = Verdict::kMayHaveRun;

  bool operator==(const KeyOutcome&) const = default;
};

using PeerMessage = std::variant<Digest,
                                 HomeClaim,
                                 BorrowRequest,
                                 BorrowReply,
                                 ReturnLeases,
                                 RenewLeases,
                                 RevokeLeases,
                                 KeyRecord,
                                 KeyReply,
                                 KeyOutcome>;

struct SendToPeer
{
  InstanceId to{};
  PeerMessage message{};
};

} // namespace limpetwood::routing
