// Settings of the routing decisions and the configuration they follow.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace limpetwood::routing {

struct RouterOptions
{
  // Announcements: a server is dropped after three missed renewals.
  Millis announceInterval = Seconds(1);
  Millis serverTimeToLive = Seconds(3);
  // The longest time a slot lent by a former home instance stays valid, and
  // so the wait of a new one.
  Millis leaseDuration = Seconds(2);
  // A borrower starts attempts only this long after asking, so that the bytes
  // reach the server before the home instance counts the lease as expired.
  Millis leaseStartTime = Millis(1500);
  Millis digestInterval = Seconds(1);
  // Digests of other instances are ignored after three missed ones.
  Millis digestTimeToLive = Seconds(3);
  // Deltas to other instances are at least this far apart.
  Millis deltaInterval = Millis(100);
  // Wait for the answer to a borrow request.
  Millis borrowTimeout = Millis(250);

  // Retries as a share of the requests.
  double retryShare = 0.1;
  uint32_t maxAttempts = 3;
  Millis backoffBase = Millis(10);
  Millis backoffMax = Millis(500);

  // Share of the grants kept for normal requests while urgent ones wait.
  double normalShare = 0.2;

  Millis keyLifetime = Minutes(10);
  Millis keyTimeout = Millis(500);
  // Longest skew between instances in learning of a changed set of owners.
  Millis keyConfigMargin = Seconds(10);
  uint32_t maxKeys = 200'000;
  // The operator states that no instance of this deployment ran before, so
  // owners need not abstain.
  bool freshDeployment = false;

  // Ejection of failing or stalled servers.
  uint32_t ejectAfterFailures = 5;
  Millis ejectTime = Seconds(5);
  Millis ejectTimeMax = Minutes(1);
  Millis slowStart = Seconds(10);

  // Switches single mechanisms off, so that tests can show that their checks
  // fail without them.
  struct TestOnly
  {
    bool ignoreSlots = false;
    bool ignoreLeaseExpiry = false;
    bool skipHomeWait = false;
    bool ignoreBusy = false;
    bool ignoreLeaving = false;
    bool retryAlways = false;
    bool unsentVerdictAlways = false;
    bool skipKeys = false;
    bool skipAbstention = false;
    bool firstInFirstOut = false;
    bool urgentAlwaysFirst = false;
    bool noEjectionFloor = false;
    bool skipQueueDeadline = false;
    bool ignoreConnections = false;
  };
  TestOnly testOnly{};
};

struct ServiceConfig
{
  ServiceId id{};
  Millis attemptTimeout = Seconds(30);
  Millis defaultDeadline = Seconds(60);
  // Requests that wait for a slot on one instance.
  uint32_t queueLimit = 1000;

  bool operator==(const ServiceConfig&) const = default;
};

struct WorkspaceConfig
{
  WorkspaceId id{};
  double share = 1.0;
  // Requests in progress at once over all instances; 0 means no limit.
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
  // All declared instances, this one included. Messages go to these only.
  std::vector<InstanceConfig> instances{};
};

} // namespace limpetwood::routing
