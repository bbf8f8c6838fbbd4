// TCP relays that tests place between instances in order to cut connections.
//
// All relays run on one thread of their own; every method is thread-safe.

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
  // Refuses new connections and closes open ones.
  kClosed,
  // Keeps connections open and drops every byte, as a middlebox does that has
  // lost track of them. New connections are accepted and silent too.
  kSilent,
  // Open connections are silent, new ones work.
  kSilenceExisting,
};

class Relay;

class RelayThread
{
public:
  RelayThread();
  ~RelayThread();
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

  // Listens on `aListen` and forwards to `aTarget`. Returns the number of the
  // relay.
  size_t Add(const http::Endpoint& aTarget,
             const http::Endpoint& aListen = { "127.0.0.1", 0 });

  http::Endpoint AddressOf(size_t aRelay) const;
  void SetMode(size_t aRelay, RelayMode aMode);

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::vector<std::shared_ptr<Relay>> mRelays;
  std::thread mThread;
};

} // namespace limpetwood::e2e
