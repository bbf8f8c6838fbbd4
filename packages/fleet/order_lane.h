// Starts and stops of one worker, sent one after the other.
//
// Answers workers that are slow to answer: each order waits for the answer to
// the one before it, so a stop never overtakes its start, and an order that is
// not wanted any more when its turn comes can be left out.

#pragma once

#include "fleet/order.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace limpetwood::fleet {

class OrderLane
{
public:
  // A stop that waits already is not added again.
  void Add(Order aOrder)
  {
    bool known =
      aOrder.kind == Order::Kind::kStop &&
      std::any_of(mWaiting.begin(), mWaiting.end(), [&](const Order& it) {
        return it.kind == aOrder.kind && it.run == aOrder.run;
      });
    if (!known) {
      mWaiting.push_back(std::move(aOrder));
    }
  }

  // Empty while an order is on its way. The one that is returned is, until
  // `Done` is called.
  std::optional<Order> Next()
  {
    if (mBusy || mWaiting.empty()) {
      return std::nullopt;
    }
    mBusy = true;
    Order next = std::move(mWaiting.front());
    mWaiting.pop_front();
    return next;
  }

  // The order that `Next` returned was answered, lost or left out.
  void Done() { mBusy = false; }

private:
  std::deque<Order> mWaiting;
  bool mBusy = false;
};

} // namespace limpetwood::fleet
