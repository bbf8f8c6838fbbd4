// A timer whose deadline is moved often and passes seldom.
//
// Moving the deadline later costs no timer operation: the timer fires at the
// earlier time, finds that the deadline has moved, and is set again.

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

  // What to call when the deadline passes. Dropped by `Stop` and by
  // destruction.
  void OnExpired(std::function<void()> aExpired)
  {
    mState->expired = std::move(aExpired);
  }

  // The deadline passes unless `Set` or `Clear` is called within `aDelay`.
  void Set(Millis aDelay)
  {
    auto& state = *mState;
    state.due = Clock::now() + std::chrono::milliseconds(aDelay.Count());
    if (!state.waiting || state.due < state.timer.expiry()) {
      State::Wait(mState);
    }
  }

  void Clear() { mState->due = Clock::time_point::max(); }

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
    Clock::time_point due = Clock::time_point::max();
    bool waiting = false;
  };

  std::shared_ptr<State> mState;
};

} // namespace limpetwood::http
