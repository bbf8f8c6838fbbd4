// Measures how late an event loop runs its timers.
//
//   LoopMonitor monitor(ioc, [&](Millis aMaxDelay) { log(...); });
//   monitor.Start();
//
// A loop that is always late is overloaded, whichever handlers take its time.
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace limpetwood::fleetd {

class LoopMonitor
{
public:
  // `aOnLate` is called at most once per report interval, with the longest
  // delay in that interval, if it was late enough to matter.
  LoopMonitor(boost::asio::io_context& aContext,
              std::function<void(Millis)> aOnLate);

  void Start();

private:
  void Wait();

  boost::asio::steady_timer mTimer;
  std::function<void(Millis)> mOnLate;
  Millis mDueAt;
  Millis mReportAt;
  Millis mMaxDelay{};
};

} // namespace limpetwood::fleetd
