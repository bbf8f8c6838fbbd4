// Encodes and decodes the messages between instances in the Thrift compact
// protocol.

#pragma once

#include "base/result.h"
#include "routing/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace limpetwood::routing {

// Messages that exceed one of these limits are rejected.
constexpr std::size_t kMaxPeerMessageBytes = 64U << 10U;
constexpr std::size_t kMaxPeerListEntries = 128;
constexpr std::size_t kMaxPeerStringBytes = 1024;

// Precondition: lists and strings are within the limits above.
std::string
EncodePeerMessage(const PeerMessage& aMessage);

// Accepts arbitrary bytes. Returns `Errc::kTooLarge` or `Errc::kCorrupt` for
// anything other than one complete message with all values in range.
Result<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

} // namespace limpetwood::routing
