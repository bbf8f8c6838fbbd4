#include "fleetd/loop_monitor.h"

#include <algorithm>
#include <chrono>

namespace limpetwood::fleetd {

namespace {

constexpr Millis kProbeInterval(100);
constexpr Millis kReportInterval = Seconds(2);
// Half of the timeout of a ping between instances.
constexpr Millis kMinReportedDelay(200);

} // namespace

LoopMonitor::LoopMonitor(boost::asio::io_context& aContext,
                         std::function<void(Millis)> aOnLate)
  : mTimer(aContext)
  , mOnLate(std::move(aOnLate))
{
}

void
LoopMonitor::Start()
{
  mReportAt = MonotonicNow() + kReportInterval;
  Wait();
}

void
LoopMonitor::Wait()
{
  mDueAt = MonotonicNow() + kProbeInterval;
  mTimer.expires_after(std::chrono::milliseconds(kProbeInterval.Count()));
  mTimer.async_wait([this](auto ec) {
    if (ec) {
      return;
    }
    Millis now = MonotonicNow();
    mMaxDelay = std::max(mMaxDelay, now - mDueAt);
    if (now >= mReportAt) {
      mReportAt = now + kReportInterval;
      Millis delay = std::exchange(mMaxDelay, Millis(0));
      if (delay >= kMinReportedDelay) {
        mOnLate(delay);
      }
    }
    Wait();
  });
}

} // namespace limpetwood::fleetd
