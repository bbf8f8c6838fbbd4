// TCP connections between the instances of one system.
//
// Each instance dials the others. It sends messages on the connections that it
// dialled and receives them on those that it accepted. Delivery is best effort:
// messages are dropped while a peer is unreachable or its queue is full, and
// the protocols on top retransmit what they need. A connection whose bytes stay
// unacknowledged, or whose probes stay unanswered, is closed and dialled again;
// otherwise a connection whose state a middlebox has dropped would stay silent
// without an error.
//
// Not thread-safe: all calls and callbacks are made on the thread that runs the
// io_context.

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
  // If set, instance ids are IP addresses, and an instance that is not in
  // `peers` is dialled at this port when a message is sent to it. Connections
  // from any instance are accepted then.
  std::optional<uint16_t> unlistedPeerPort{};
  // When the connection to a peer that is not in `peers` fails, it is not
  // dialled again if nothing was sent to the peer for this long.
  Millis unlistedPeerIdleTimeout = Seconds(10);
  Millis connectTimeout = Seconds(1);
  // A connection is closed when sent bytes stay unacknowledged for longer.
  Millis unacknowledgedTimeout = Seconds(3);
  // Upper bound of the pause before a peer is dialled again.
  Millis maxBackoff = Seconds(1);
  // Each dialled connection is probed at this interval, and replaced after
  // `maxUnansweredProbes` consecutive probes without an answer.
  Millis probeInterval = Seconds(1);
  int maxUnansweredProbes = 3;
  // Messages to a peer are dropped while more bytes than this are queued for
  // it.
  size_t maxQueueBytes = 8U << 20U;
};

struct TransportCounters
{
  // By channel; frame headers are included.
  std::array<uint64_t, kChannels> bytesSent{};
  std::array<uint64_t, kChannels> bytesReceived{};
  std::array<uint64_t, kChannels> messagesSent{};
  // Messages dropped because of `TransportOptions::maxQueueBytes`.
  uint64_t droppedQueueFull = 0;
  // Messages dropped because the peer is unknown or not connected.
  uint64_t droppedUnreachable = 0;
  // Dialled connections that were lost after they had been established.
  uint64_t connectionsLost = 0;
  // Accepted connections that were closed because of an invalid frame, a
  // missing hello or an unknown sender.
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

  // Binds the listening socket and starts to accept and to dial connections.
  // Returns the bound endpoint, or the error of the socket call.
  Result<http::Endpoint> Start();

  // Queues a message. It is dropped and counted if the instance is unknown or
  // not connected, or if its queue is full. A message to this instance itself
  // is delivered without a connection.
  void Send(const InstanceId& aTo, Channel aChannel, std::string aPayload);

  // True if the connection that was dialled to the peer is established.
  bool IsConnected(const InstanceId& aPeer) const;

  const TransportCounters& Counters() const;

  // Closes all connections. No message is received afterwards.
  void Close();

private:
  std::shared_ptr<TransportImpl> mImpl;
};

} // namespace limpetwood::peer
