// Settings of a fleet process: its identity, its endpoints and the limits that
// its deployment guarantees.
//
// The format is JSON with comments. Each unknown key and each value out of
// range is reported as a fault with its path.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "http/endpoint.h"
#include "model/fault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::fleetd {

// Limits that the deployment guarantees and the scheduler relies on.
struct Bounds
{
  // The longest lease that workers accept.
  Millis maxLease = Seconds(10);
  // The longest time that a worker needs to stop a run.
  Millis maxStopTime = Millis(900);
  // Interval between heartbeats of a worker.
  Millis heartbeatInterval = Millis(1500);
  // Time that a process has for its shutdown before it is killed.
  Millis shutdownTimeout = Seconds(6);
  // Number of file descriptors that the process may open.
  uint32_t openFiles = 4096;
  // Number of instances with a disk that may be unavailable at the same time.
  uint32_t toleratedInstances = 1;
};

// How work is delayed and refused when there is too little capacity.
enum class OverloadPolicy
{
  // By priority and deadline.
  kPriority,
  // By what a delay costs callers, with long jobs told from slow workers.
  kCallerCost,
};

struct Settings
{
  InstanceId instance;
  ZoneId zone;
  // Addresses without a port: other instances reach this one at `address`; its
  // internal ports are bound at `bindAddress`, by default the same address.
  // They differ behind network address translation.
  std::string address;
  std::string bindAddress;
  // First port of the range for traffic between instances; the offsets are in
  // control_process.h.
  uint16_t firstPort = 0;
  // Addresses, without ports, of the control instances known at start-up.
  std::vector<std::string> seeds;
  // Zones of the deployment; empty if they are not known.
  std::vector<ZoneId> zones;
  // True only for the first start of the whole system.
  bool firstStart = false;
  // Folder of the replicated state; set only on instances that store it.
  std::optional<std::string> dataFolder;
  // Endpoints for callers, for the load balancer's readiness checks, and for
  // workers and operators; unset if the process does not serve them. A process
  // with `dataFolder` and `controlEndpoint` is a control instance, any other
  // with `callerEndpoint` an entry instance.
  std::optional<http::Endpoint> callerEndpoint;
  std::optional<http::Endpoint> readinessEndpoint;
  std::optional<http::Endpoint> controlEndpoint;
  Bounds bounds;
  OverloadPolicy overloadPolicy = OverloadPolicy::kPriority;
};

struct SettingsResult
{
  Settings value;
  model::Faults faults;

  bool Ok() const { return faults.empty(); }
};

// Parses the settings. If there are faults, `value` is incomplete.
SettingsResult
ParseSettings(std::string_view aText);

// Reads and parses a file. An unreadable file is reported as a fault.
SettingsResult
LoadSettings(const std::string& aFile);

} // namespace limpetwood::fleetd
