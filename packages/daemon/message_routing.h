// Encodes control messages with a prefix that names the receiving actor of an
// instance: the control group, the instance actor or both.

#pragma once

#include "control/codec.h"

#include <string>
#include <string_view>

namespace limpetwood::daemon {

// Returns the encoded message after one byte that identifies its receiver, so
// that the I/O thread can route the message without decoding it.
std::string
EncodeControlMessage(const control::gen::ControlMessage& aMessage);

// Returns true if the control group is a receiver of the message.
bool
IsForControlGroup(std::string_view aBytes);

// Returns true if the instance actor is a receiver of the message.
bool
IsForInstance(std::string_view aBytes);

// Decodes the message after the receiver byte. Returns `Errc::kTruncated` for
// empty input, or the error of `control::Decode`.
Result<control::gen::ControlMessage>
DecodeControlMessage(std::string_view aBytes);

} // namespace limpetwood::daemon
