// TCP connections between the instances of one system.
//
// Each instance dials the others and sends on the connections it dialled; it
// only receives on those it accepted. Delivery is best effort: messages are
// dropped while a peer is unreachable or its queue is full, and the protocols
// above repeat what matters. A connection whose bytes stay unacknowledged, or
// whose probes stay unanswered, is closed and dialled anew, so that one which a
// middlebox has forgotten does not stay silent for good.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/endpoint.h"
#include "peer/frame.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace limpetwood::peer {

struct TransportOptions
{
  InstanceId self;
  http::Endpoint listen;
  // Peer addresses of all other instances.
  std::map<InstanceId, http::Endpoint> peers;
  // If set, instances are named by their IP address, and those that are not
  // listed above are dialled at this port when something is sent to them.
  std::optional<uint16_t> unlistedPeerPort{};
  // An undeclared peer to which nothing was sent for this long is let go.
  Millis unlistedPeerIdleTimeout = Seconds(10);
  Millis connectTimeout = Seconds(1);
  // Longest time that sent bytes may stay unacknowledged.
  Millis unacknowledgedTimeout = Seconds(3);
  Millis maxBackoff = Seconds(1);
  // Each dialled connection is probed at this interval, and replaced when
  // `maxUnansweredProbes` probes in a row have no answer.
  Millis probeInterval = Seconds(1);
  int maxUnansweredProbes = 3;
  size_t maxQueueBytes = 8U << 20U;
};

struct TransportCounters
{
  std::array<uint64_t, kChannels> bytesSent{};
  std::array<uint64_t, kChannels> bytesReceived{};
  std::array<uint64_t, kChannels> messagesSent{};
  uint64_t droppedQueueFull = 0;
  uint64_t droppedUnreachable = 0;
  uint64_t connectionsLost = 0;
  uint64_t protocolErrors = 0;
};

using ReceiveFunction = std::function<
  void(const InstanceId& aFrom, Channel aChannel, std::string aPayload)>;

struct TransportImpl;

class Transport
{
public:
  Transport(boost::asio::io_context& aContext,
            TransportOptions aOptions,
            ReceiveFunction aReceive);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Binds, starts to accept and to dial; returns the bound endpoint.
  Result<http::Endpoint> Start();

  // A message to the instance itself is delivered without a connection.
  // Messages to unknown instances are dropped.
  void Send(const InstanceId& aTo, Channel aChannel, std::string aPayload);

  bool IsConnected(const InstanceId& aPeer) const;

  const TransportCounters& Counters() const;

  void Close();

private:
  std::shared_ptr<TransportImpl> mImpl;
};

} // namespace limpetwood::peer
