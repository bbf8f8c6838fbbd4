// A timer for deadlines that are often postponed and rarely expire.
//
// Postponing the deadline needs no timer operation: the timer fires at the
// earlier time, finds the later deadline and is armed again.

#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace limpetwood::http {

class DeadlineTimer
{
public:
  explicit DeadlineTimer(boost::asio::io_context& aContext)
    : mState(std::make_shared<State>(aContext))
  {
  }

  ~DeadlineTimer() { Stop(); }
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  // Sets the callback for an expired deadline. `Stop` and the destructor
  // discard it.
  void SetCallback(std::function<void()> aExpired)
  {
    mState->expired = std::move(aExpired);
  }

  // Sets the deadline to `aDelay` from now, in place of any earlier deadline.
  void Set(Millis aDelay)
  {
    auto& state = *mState;
    state.due = Clock::now() + std::chrono::milliseconds(aDelay.Count());
    if (!state.waiting || state.due < state.timer.expiry()) {
      State::Wait(mState);
    }
  }

  // Removes the deadline and keeps the callback.
  void Clear() { mState->due = Clock::time_point::max(); }

  // Removes the deadline and discards the callback. The timer must not be used
  // again.
  void Stop()
  {
    Clear();
    mState->expired = nullptr;
    mState->timer.cancel();
  }

private:
  using Clock = std::chrono::steady_clock;

  struct State
  {
    explicit State(boost::asio::io_context& aContext)
      : timer(aContext)
    {
    }

    static void Wait(const std::shared_ptr<State>& aState)
    {
      aState->waiting = true;
      aState->timer.expires_at(aState->due);
      aState->timer.async_wait([aState](boost::system::error_code ec) {
        if (ec) {
          return;
        }
        aState->waiting = false;
        if (aState->due == Clock::time_point::max()) {
          return;
        }
        if (Clock::now() < aState->due) {
          Wait(aState);
          return;
        }
        aState->due = Clock::time_point::max();
        if (auto expired = aState->expired) {
          expired();
        }
      });
    }

    boost::asio::steady_timer timer;
    std::function<void()> expired;
    // The current deadline, or the maximum if there is none. Not before
    // `timer.expiry()` while a wait is pending.
    Clock::time_point due = Clock::time_point::max();
    // A wait on `timer` is pending.
    bool waiting = false;
  };

  std::shared_ptr<State> mState;
};

} // namespace limpetwood::http
