#include "daemon/message_routing.h"

#include "base/error.h"

namespace limpetwood::daemon {

namespace {

constexpr char kControlGroup = 1;
constexpr char kInstance = 2;
// Lease requests: an instance votes for its own zone, and the control leader
// casts the tie-breaking vote.
constexpr char kControlGroupAndInstance = 3;

char
ReceiverOf(const control::gen::ControlMessage& aMessage)
{
  if (aMessage.__isset.leaseRequest) {
    return kControlGroupAndInstance;
  }
  bool group = aMessage.__isset.heartbeat || aMessage.__isset.propose ||
               aMessage.__isset.query || aMessage.__isset.configurationRequest;
  return group ? kControlGroup : kInstance;
}

bool
HasReceiver(std::string_view aBytes, char aReceiver)
{
  return !aBytes.empty() && (aBytes.front() == aReceiver ||
                             aBytes.front() == kControlGroupAndInstance);
}

} // namespace

std::string
EncodeControlMessage(const control::gen::ControlMessage& aMessage)
{
  std::string bytes(1, ReceiverOf(aMessage));
  bytes += control::Encode(aMessage);
  return bytes;
}

bool
IsForControlGroup(std::string_view aBytes)
{
  return HasReceiver(aBytes, kControlGroup);
}

bool
IsForInstance(std::string_view aBytes)
{
  return HasReceiver(aBytes, kInstance);
}

Result<control::gen::ControlMessage>
DecodeControlMessage(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return make_error_code(Errc::kTruncated);
  }
  return control::Decode<control::gen::ControlMessage>(aBytes.substr(1));
}

} // namespace limpetwood::daemon
