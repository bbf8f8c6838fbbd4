// The announcement that a backend server sends to its home instance once a
// second, and the possible replies. The home instance is the one that grants
// the server's slots.

#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetwood::routing {

struct ServerAnnouncement
{
  ServerId server{};
  ServiceId service{};
  ZoneId zone{};
  std::string address{};
  Incarnation incarnation{};
  // Limits of the server over all instances: requests that it executes at the
  // same time, and open connections.
  uint32_t slots = 0;
  uint32_t connections = 0;
  // Requests that the server is executing at the time of the announcement.
  uint32_t busy = 0;
  bool leaving = false;
};

enum class AnnounceStatus : uint8_t
{
  kAccepted,
  // The server has already announced a later incarnation, or this incarnation
  // has announced that it is leaving.
  kStaleIncarnation,
  kUnknownService,
  // Empty or oversized fields, or a slot count out of range.
  kInvalid,
  // This instance is draining; the server must announce to another instance.
  kDraining,
};

// The status as it appears in replies: "accepted", "stale_incarnation", ...
std::string_view
AnnounceStatusName(AnnounceStatus aStatus);

} // namespace limpetwood::routing
