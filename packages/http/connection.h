// The client side of one HTTP/1.1 connection, with streamed bodies and a
// timeout for each operation.
//
// One exchange at a time: `Send` and any number of `SendBody` calls, and in
// parallel `ReadHead` and any number of `ReadBody` calls. A response may be
// complete before the request is. A read error or a timeout closes the
// connection and completes all pending callbacks with an error. A write error
// completes only the write, since the server may have sent a response before it
// stopped reading. `Close` discards pending callbacks.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/time.h"
#include "http/endpoint.h"
#include "http/stream.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

namespace limpetwood::http {

struct ConnectionLimits
{
  uint32_t maxHeaderBytes = 16U << 10U;
};

using HeadCallback = std::function<void(std::error_code, ResponseHead)>;

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  static std::shared_ptr<Connection> Create(boost::asio::io_context& aContext,
                                            ConnectionLimits aLimits = {});

  virtual ~Connection() = default;

  // Opens the connection. Sends no part of a request, so a request that fails
  // here did not run. Fails with `Errc::kTimeout` or the system error.
  virtual void Connect(const Endpoint& aEndpoint,
                       Millis aTimeout,
                       WriteCallback aDone) = 0;

  // Starts an exchange. `aPart` must stay valid until `aDone` is called.
  virtual void Send(const RequestHead& aHead,
                    std::string_view aPart,
                    bool aLast,
                    Millis aTimeout,
                    WriteCallback aDone) = 0;

  // Sends the next part of the request body. One write at a time; `aPart` must
  // stay valid until `aDone` is called.
  virtual void SendBody(std::string_view aPart,
                        bool aLast,
                        Millis aTimeout,
                        WriteCallback aDone) = 0;

  // Reads the response head. Errors of this read and of the body reads:
  // `Errc::kTimeout`;
  // `Errc::kTooLarge` for a head longer than `maxHeaderBytes` or a body longer
  // than `aMaxBodyBytes`;
  // `Errc::kTruncated` for a response that is shorter than its
  // `Content-Length`, or whose end is marked only by the close of the
  // connection;
  // `Errc::kCorrupt` for a malformed response;
  // `Errc::kUnavailable` if the connection is already closed;
  // otherwise the system error.
  virtual void ReadHead(Millis aTimeout,
                        uint64_t aMaxBodyBytes,
                        HeadCallback aDone) = 0;

  // Restarts the timeout of a read in progress: it ends `aTimeout` from now.
  virtual void ExtendRead(Millis aTimeout) = 0;

  // Reads the next part of the response body. If the body is already complete,
  // as after a request with the method HEAD, completes with an empty last part.
  virtual void ReadBody(Millis aTimeout, BodyCallback aDone) = 0;

  // True once the kernel may have accepted bytes of the current request for
  // sending.
  virtual bool HasSentBytes() const = 0;

  // True if the request and the response are complete, the peer keeps the
  // connection open, and no bytes follow the response.
  virtual bool Reusable() const = 0;

  // For idle connections: false if the peer has closed the connection or has
  // sent unsolicited bytes.
  virtual bool IsLive() = 0;

  // Closes the connection. Pending callbacks are not called.
  virtual void Close() = 0;

  // The endpoint that was passed to `Connect`.
  virtual const Endpoint& Peer() const = 0;

  // Monotonic times of the last bytes received and of the start of the last
  // exchange.
  virtual Millis LastReceiveTime() const = 0;
  virtual Millis LastExchangeStart() const = 0;

  // Name of the process that is known to be at the other end; empty if none is.
  // A connection leads to the same process until it is closed.
  const std::string& VerifiedPeer() const { return mVerifiedPeer; }
  void SetVerifiedPeer(std::string aName) { mVerifiedPeer = std::move(aName); }

private:
  std::string mVerifiedPeer;
};

} // namespace limpetwood::http
