// Runs an event loop and records up to which time it has handled all input.
//
//   RunEventLoop(ioc);
//   // In a handler:
//   Millis earliest = EventLoopProgress::Of(ioc).InputHandledUntil();
//
// Bytes wait unread in a socket while the process is stopped, or while its
// machine is suspended, and the receiver cannot see for how long. Input that a
// handler reads now arrived after that time, if its socket was being waited on
// at that time.

#pragma once

#include "base/time.h"

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>

namespace limpetwood::http {

// The progress of one event loop. If the loop is not run by `RunEventLoop`, its
// time remains that of the first call of `Of`.
class EventLoopProgress : public boost::asio::execution_context::service
{
public:
  static inline boost::asio::execution_context::id id;

  explicit EventLoopProgress(boost::asio::io_context& aContext);

  static EventLoopProgress& Of(boost::asio::io_context& aContext)
  {
    return boost::asio::use_service<EventLoopProgress>(aContext);
  }

  // A time of `MonotonicNow()`. The handlers of all input that had arrived at
  // this time, on sockets that were being waited on, have been called. In a
  // loop that is always busy it advances as well.
  Millis InputHandledUntil() const { return mInputHandledUntil; }

private:
  friend void RunEventLoop(boost::asio::io_context& aContext);

  void shutdown() override {}

  // Runs the handlers that are ready and polls for input once; the handlers of
  // this input run in the next round. Returns how many handlers ran.
  uint64_t RunRound();

  boost::asio::io_context& mContext;
  // After this number of polls, all sockets with input have been reported.
  const uint64_t mMaxPolls;
  uint64_t mRound = 0;
  uint64_t mFinishedRound = 0;
  // When the latest rounds began, without a gap, for which it is not known yet
  // that all input of that time was handled.
  std::deque<Millis> mRoundBegins;
  // Whether the poll of the round before the latest returned all that was
  // ready.
  bool mPollWasComplete = false;
  Millis mInputHandledUntil;
};

// Runs handlers until the context is stopped or out of work, like
// `io_context::run`. An exception of a handler is passed on; the function can
// then be called again.
void
RunEventLoop(boost::asio::io_context& aContext);

} // namespace limpetwood::http
