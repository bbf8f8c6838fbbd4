// The client side of one HTTP/1.1 connection, with bodies passed on in parts
// and a time limit for each phase.
//
// One exchange at a time: `Send`, any number of `SendBody`, and in parallel
// `ReadHead`, any number of `ReadBody`. An answer may be complete before the
// request is. After any error the connection is closed; pending callbacks then
// end with an error, except after `Close`, which drops them.
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
#include <system_error>

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

  // Nothing of a request is sent here, so a failure means that it did not run.
  virtual void Connect(const Endpoint& aEndpoint,
                       Millis aTimeout,
                       WriteCallback aDone) = 0;

  // Starts an exchange. The part must stay valid until `aDone`.
  virtual void Send(const RequestHead& aHead,
                    std::string_view aPart,
                    bool aLast,
                    Millis aTimeout,
                    WriteCallback aDone) = 0;

  virtual void SendBody(std::string_view aPart,
                        bool aLast,
                        Millis aTimeout,
                        WriteCallback aDone) = 0;

  // Bodies longer than `aMaxBodyBytes` end with `Errc::kTooLarge`. An answer
  // that is ended only by the close of the connection, and any answer shorter
  // than announced, ends with `Errc::kTruncated`.
  virtual void ReadHead(Millis aTimeout,
                        uint64_t aMaxBodyBytes,
                        HeadCallback aDone) = 0;

  // Gives a read in progress this much time from now on.
  virtual void ExtendRead(Millis aTimeout) = 0;

  // Only while the body is not complete.
  virtual void ReadBody(Millis aTimeout, BodyCallback aDone) = 0;

  // Whether any byte of the present exchange's request was handed to the
  // kernel.
  virtual bool HasSentBytes() const = 0;

  // Request and answer are complete, the peer keeps the connection open, and
  // no bytes follow the answer.
  virtual bool Reusable() const = 0;

  // While idle: false when the peer has closed the connection or has sent
  // bytes that nobody asked for.
  virtual bool IsLive() = 0;

  virtual void Close() = 0;

  virtual const Endpoint& Peer() const = 0;

  // When the peer last sent something, and when the last exchange began.
  virtual Millis LastReceiveTime() const = 0;
  virtual Millis LastExchangeStart() const = 0;
};

} // namespace limpetwood::http
