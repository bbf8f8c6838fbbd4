// Settings of one daemon, read from a file at startup.
//
// Unlike the configuration document, settings apply to one machine: they
// contain its addresses, limits and timings and the declared instances.
// Changing them requires a restart. The file is JSON with comments and is
// validated like the document: unknown keys are faults, and all faults are
// reported together. `docs/settings.md` is the reference.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/fault.h"
#include "model/validate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::model {

// Identity and addresses of an instance as the other instances reach it. The
// settings declare all instances, including the local one. Addresses are
// numeric with a port, for example "127.0.0.1:7003" or "[::1]:7003".
struct DeclaredInstance
{
  InstanceId id;
  ZoneId zone;
  std::string peerAddress;
  std::string controlAddress;
  // Whether the instance has a data folder and can join the control group.
  bool hasDisk = false;

  bool operator==(const DeclaredInstance&) const = default;
};

enum class LogLevel
{
  kTrace,
  kDebug,
  kInfo,
  kWarn,
  kError,
};

const char*
LogLevelName(LogLevel aLevel);

std::optional<LogLevel>
ParseLogLevel(std::string_view aName);

struct LogSettings
{
  LogLevel level = LogLevel::kInfo;
  // Absolute path of the log file; standard error if absent.
  std::optional<std::string> file;

  bool operator==(const LogSettings&) const = default;
};

struct LimitSettings
{
  // Maximum open connections on the caller port and on the control port.
  uint32_t callerConnections = 4096;
  uint32_t controlConnections = 512;
  // Maximum connections kept open to one backend server.
  uint32_t connectionsPerServer = 60;
  // Maximum sizes of bodies in bytes; a service may set lower ones.
  uint64_t requestBodyBytes = 16U << 20U;
  uint64_t responseBodyBytes = 64U << 20U;
  uint64_t controlBodyBytes = 4U << 20U;
  // Maximum requests that wait for a slot, over all services.
  uint32_t queuedRequests = 10000;
  // Maximum bytes of request and response bodies in memory at the same time.
  uint64_t bufferedBytes = 256U << 20U;

  bool operator==(const LimitSettings&) const = default;
};

struct TimingSettings
{
  // Duration of the zone authority lease and its renewal interval.
  Millis authorityLease = Seconds(6);
  Millis authorityRenew = Seconds(2);
  // Duration of the worker lease and its renewal interval.
  Millis workerLease = Seconds(15);
  Millis workerRenew = Seconds(5);
  // Maximum time that a borrowed slot stays valid.
  Millis slotLease = Seconds(2);
  // A backend server that has not announced itself for this time is removed.
  Millis serverTtl = Seconds(3);
  // Election timeouts of the control group are chosen at random from this
  // interval.
  Millis electionMin = Millis(1500);
  Millis electionMax = Millis(3000);
  // How long an isolated zone continues to operate after the last contact with
  // the leader.
  Millis zoneAutonomy = Hours(2);
  // Time that requests in progress have to finish after a drain was requested.
  Millis drainDeadline = Minutes(5);
  // A voter that has been unreachable for this time is replaced by a standby.
  Millis repairAfter = Seconds(60);
  // How long the owners of an idempotency key keep its record.
  Millis keyLifetime = Minutes(10);

  bool operator==(const TimingSettings&) const = default;
};

struct Settings
{
  InstanceId instance;
  ZoneId zone;
  // Addresses on which this process listens; with port 0 the operating system
  // chooses the port.
  std::string callerAddress;
  std::string controlAddress;
  std::string peerAddress;
  // Absolute path. Present if and only if this instance is declared with a
  // disk.
  std::optional<std::string> dataFolder;
  // All declared instances, including this one.
  std::vector<DeclaredInstance> instances;
  // Initial voters of the control group, used when it is formed for the first
  // time. Later membership changes are part of the replicated state.
  std::vector<InstanceId> voters;
  LogSettings log;
  LimitSettings limits;
  TimingSettings timings;

  bool operator==(const Settings&) const = default;
};

// Parses and validates the text of a settings file. Rules between fields are
// checked too: this instance is declared, voters have disks, a lease lasts at
// least two renewal intervals.
Parsed<Settings>
ParseSettings(std::string_view aText);

// Reads and parses `aFile`. A file that cannot be read is a fault with an empty
// path.
Parsed<Settings>
LoadSettings(const std::string& aFile);

// Canonical JSON with all fields. Parsing it gives equal settings.
std::string
WriteSettings(const Settings& aSettings);

// Formats a fault as one line for the log or a terminal: file, path, invalid
// value and expected value.
std::string
FormatFault(std::string_view aFile, const Fault& aFault);

} // namespace limpetwood::model
