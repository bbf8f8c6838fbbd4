// Settings of a fleet process: which role it has, where it listens, and the
// bounds that its deployment sets.
//
// JSON with comments. Unknown keys and values out of range are faults, each
// with its path.

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

// What a deployment bounds, with its units in the names of the types.
struct Bounds
{
  // The longest lease that workers accept.
  Millis maxLease = Seconds(10);
  // The longest time that a worker takes to stop a run.
  Millis maxStopTime = Millis(900);
  // Interval of the workers' reports.
  Millis heartbeatInterval = Millis(1500);
  // How long a stopped process may go on.
  Millis shutdownTimeout = Seconds(6);
  // Instances with a disk that may be lost at once.
  uint32_t toleratedInstances = 1;
};

struct Settings
{
  InstanceId instance;
  ZoneId zone;
  // The address at which the other instances reach this one, and where its
  // internal ports are bound. They differ behind an address translation.
  std::string address;
  std::string bindAddress;
  // First port of the range for traffic between instances.
  uint16_t firstPort = 0;
  // Addresses of instances that serve control, as known at the start.
  std::vector<std::string> seeds;
  // True only for the first start of the whole system.
  bool firstStart = false;
  // Set on instances that hold the state.
  std::optional<std::string> dataFolder;
  // Where callers, the balancer's checks, and workers and operators connect.
  std::optional<http::Endpoint> callerEndpoint;
  std::optional<http::Endpoint> readinessEndpoint;
  std::optional<http::Endpoint> controlEndpoint;
  Bounds bounds;
};

struct SettingsResult
{
  Settings value;
  model::Faults faults;

  bool Ok() const { return faults.empty(); }
};

SettingsResult
ParseSettings(std::string_view aText);

// Reads a file; a file that cannot be read is a fault.
SettingsResult
LoadSettings(const std::string& aFile);

} // namespace limpetwood::fleetd
