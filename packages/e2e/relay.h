// TCP relays that tests place between instances to simulate network faults.
//
// All relays of a `RelayGroup` run on its one thread. `AddressOf` and
// `SetMode` may be called from any thread once all relays are added.

#pragma once

#include "http/endpoint.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace limpetwood::e2e {

enum class RelayMode
{
  kForward,
  // Closes open connections, and new ones as soon as they are accepted.
  kClosed,
  // Keeps connections open and discards all data, like a middlebox that lost
  // its connection state. New connections are accepted and discard all data
  // too.
  kSilent,
  // Existing connections discard all data; new ones forward it.
  kExistingSilent,
};

class Relay;

class RelayGroup
{
public:
  RelayGroup();
  ~RelayGroup();
  RelayGroup(const RelayGroup&) = delete;
  RelayGroup& operator=(const RelayGroup&) = delete;

  // Adds a relay that listens on `aListen` and forwards to `aTarget`. Returns
  // its index, which identifies it in the other methods. Throws if the address
  // cannot be bound.
  size_t Add(const http::Endpoint& aTarget,
             const http::Endpoint& aListen = { "127.0.0.1", 0 });

  // The address on which the relay listens.
  http::Endpoint AddressOf(size_t aRelay) const;
  // Returns after the mode has taken effect. Must not be called on the relays'
  // own thread, for which it waits.
  void SetMode(size_t aRelay, RelayMode aMode);

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWorkGuard; // Keeps `mContext` running without relays.
  std::vector<std::shared_ptr<Relay>> mRelays;
  std::thread mThread;
};

} // namespace limpetwood::e2e
