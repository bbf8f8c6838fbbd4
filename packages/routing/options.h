// Options of the router and the part of the configuration that it uses.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace limpetwood::routing {

struct RouterOptions
{
  // Interval between announcements of a server. With the defaults, a server is
  // dropped after three missed announcements.
  Millis announceInterval = Seconds(1);
  Millis serverTimeToLive = Seconds(3);
  // Maximum lifetime of a slot lease without renewal. A new home instance waits
  // this long before it grants slots, since leases granted by the former home
  // instance may still be valid.
  Millis leaseDuration = Seconds(2);
  // A borrower may start an attempt only within this time after sending its
  // borrow request. It is shorter than `leaseDuration` so that the request
  // reaches the server before the home instance regards the lease as expired.
  Millis leaseStartWindow = Millis(1500);
  Millis digestInterval = Seconds(1);
  // Digests of other instances are ignored after this time; with the defaults,
  // after three missed digests.
  Millis digestTimeToLive = Seconds(3);
  // Minimum interval between two delta digests.
  Millis deltaInterval = Millis(100);
  // Timeout of a borrow request.
  Millis borrowTimeout = Millis(250);

  // Maximum number of retries per admitted request, averaged over many
  // requests.
  double retryRatio = 0.1;
  // Attempts per request, including the first one.
  uint32_t maxAttempts = 3;
  // Servers whose connection may break under one request without an answer
  // before it is given up. A second loss on another server makes the request a
  // more likely cause than either server.
  uint32_t maxLostServers = 2;
  // Maximum delay before the first retry. Doubles with each further one, up to
  // `backoffMax`.
  Millis backoffBase = Millis(10);
  Millis backoffMax = Millis(500);

  // Share of the grants for normal requests while urgent requests are waiting.
  double normalPriorityShare = 0.2;

  // Time for which key owners remember a key.
  Millis keyLifetime = Minutes(10);
  // Time limit for recording a key at its owners.
  Millis keyTimeout = Millis(500);
  // Maximum time between the moments at which two instances apply a change of
  // the declared instances, which determine the key owners.
  Millis keyOwnerSkewMargin = Seconds(10);
  uint32_t maxKeys = 200'000;
  // Set by the operator if no instance of this deployment has run before; key
  // owners then need not abstain after their start.
  bool freshDeployment = false;

  // Ejection of failing or unresponsive servers: failures since the last
  // successful answer that lead to an ejection. An explicit refusal counts as a
  // fraction of a failure.
  uint32_t ejectAfterFailures = 5;
  // Length of the first ejection. Doubles with each consecutive one, up to
  // `maxEjectionTime`.
  Millis ejectionTime = Seconds(5);
  Millis maxEjectionTime = Minutes(1);
  // Time over which a new or readmitted server reaches its full load.
  Millis slowStart = Seconds(10);

  // Disables single mechanisms, so that tests can verify that their checks fail
  // without them.
  struct TestOnly
  {
    bool ignoreSlots = false;
    bool ignoreLeaseExpiry = false;
    bool skipHomeWait = false;
    bool ignoreReportedBusy = false;
    bool ignoreLeaving = false;
    bool retryAlways = false;
    bool ignoreLostServers = false;
    bool alwaysReportNotRun = false;
    bool skipKeyRecording = false;
    bool skipAbstention = false;
    bool firstInFirstOut = false;
    bool urgentAlwaysFirst = false;
    bool ignoreEjectionLimit = false;
    bool skipDeadlineCheck = false;
    bool ignoreConnectionLimit = false;
  };
  TestOnly testOnly{};
};

struct ServiceConfig
{
  ServiceId id{};
  Millis attemptTimeout = Seconds(30);
  Millis defaultDeadline = Seconds(60);
  // Maximum number of requests that wait for a slot on one instance.
  uint32_t queueLimit = 1000;

  bool operator==(const ServiceConfig&) const = default;
};

struct WorkspaceConfig
{
  WorkspaceId id{};
  double share = 1.0;
  // Maximum number of concurrent requests over all instances; 0 means no limit.
  uint32_t requests = 0;

  bool operator==(const WorkspaceConfig&) const = default;
};

struct InstanceConfig
{
  InstanceId id{};
  ZoneId zone{};

  auto operator<=>(const InstanceConfig&) const = default;
};

struct RoutingConfig
{
  ConfigVersion version{};
  std::vector<ServiceConfig> services{};
  std::vector<WorkspaceConfig> workspaces{};
  // All declared instances, including this one. Messages are sent only to these
  // and accepted only from these.
  std::vector<InstanceConfig> instances{};
};

} // namespace limpetwood::routing
