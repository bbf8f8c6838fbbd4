// Divides the connections that one backend server allows among the instances.
//
// Every lent slot carries the same number of connections, and the home instance
// may use the remaining ones. If the server allows at least two connections per
// slot, the home instance's limit is fixed, so that lending a slot never
// requires it to close a connection first.

#pragma once

#include <algorithm>
#include <cstdint>

namespace limpetwood::routing {

class ConnectionBudget
{
public:
  constexpr ConnectionBudget(uint32_t aConnections, uint32_t aSlots)
    : mConnections(aConnections)
    , mSlots(aSlots)
  {
  }

  // Connections that one lent slot carries: half of the server's connections
  // divided by its slots, but at least one.
  constexpr uint32_t PerLease() const
  {
    return std::max(1U, mConnections / 2 / std::max(1U, mSlots));
  }

  // True if the home instance's limit does not depend on the number of lent
  // slots.
  constexpr bool IsHomeLimitFixed() const { return mConnections >= 2 * mSlots; }

  // Connections that the home instance may have open while `aSlotsElsewhere`
  // slots are lent to other instances or occupied by them.
  constexpr uint32_t HomeLimit(uint32_t aSlotsElsewhere) const
  {
    uint32_t lent =
      IsHomeLimitFixed() ? std::max(mSlots, aSlotsElsewhere) : aSlotsElsewhere;
    uint32_t reserved = PerLease() * lent;
    return mConnections > reserved ? mConnections - reserved : 0;
  }

private:
  uint32_t mConnections;
  uint32_t mSlots;
};

} // namespace limpetwood::routing
