// Sends JSON calls to one of several instances and fails over to the next one
// if it does not answer.

#pragma once

#include "base/result.h"
#include "http/client.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::standin {

// The control port of an instance, and its zone, empty if unknown.
struct InstanceAddress
{
  std::string zone;
  http::Endpoint endpoint;
};

// Parses a list such as "127.0.0.1:7001,sogn@127.0.0.1:7002". Entries in
// `aZone` and entries without a zone come first; otherwise the order is kept.
// Returns the error of the first address that cannot be parsed.
Result<std::vector<InstanceAddress>>
ParseInstances(std::string_view aText, std::string_view aZone);

class ControlLink
{
public:
  // Called with the status and body of the response, or with status 0 if there
  // was no response.
  using Done = std::function<void(int, const nlohmann::json&)>;

  ControlLink(boost::asio::io_context& aContext,
              std::vector<InstanceAddress> aInstances)
    : mContext(aContext)
    , mInstances(std::move(aInstances))
  {
  }

  // Posts to the current instance. If there is no response or its status is 500
  // or above, the next instance becomes the current one. Does nothing, and does
  // not call `aDone`, if there are no instances.
  void Post(std::string aPath, const nlohmann::json& aBody, Done aDone);

  // Returns whether the current instance changed since the last call of this
  // method.
  bool TakeFailedOver() { return std::exchange(mFailedOver, false); }

private:
  boost::asio::io_context& mContext;
  std::vector<InstanceAddress> mInstances;
  size_t mCurrent = 0;
  bool mFailedOver = false;
};

} // namespace limpetwood::standin
