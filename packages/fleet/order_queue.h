// Queue of the starts and stops for one worker, which are sent one at a time.
//
// Each order waits for the answer to the one before it, so that a stop never
// overtakes its start, and an order that is no longer needed can be dropped
// before it is sent.

#pragma once

#include "fleet/order.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace limpetwood::fleet {

class OrderQueue
{
public:
  // Does nothing for a stop that is already queued.
  void Add(Order aOrder)
  {
    bool queued =
      aOrder.kind == Order::Kind::kStop &&
      std::any_of(mQueued.begin(), mQueued.end(), [&](const Order& it) {
        return it.kind == aOrder.kind && it.run == aOrder.run;
      });
    if (!queued) {
      mQueued.push_back(std::move(aOrder));
    }
  }

  // Returns the next order, which is then in flight until `Done` is called.
  // Returns nothing while an order is in flight.
  std::optional<Order> Next()
  {
    if (mInFlight || mQueued.empty()) {
      return std::nullopt;
    }
    mInFlight = true;
    Order next = std::move(mQueued.front());
    mQueued.pop_front();
    return next;
  }

  // The order in flight was answered, failed or dropped.
  void Done() { mInFlight = false; }

private:
  std::deque<Order> mQueued;
  bool mInFlight = false;
};

} // namespace limpetwood::fleet
