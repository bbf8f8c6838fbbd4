// The servers of one service that can take an attempt now, and the choice among
// them.
//
// Chooses the better one of two random candidates, which takes constant time.
// Servers of other zones are used only if no server of the own zone is
// available.

#pragma once

#include "base/random.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace limpetwood::routing {

using ServerIndex = uint32_t;

class ServerPool
{
public:
  // Adds or removes a candidate. No effect if the server already is, or is not,
  // a candidate in this zone group.
  void SetCandidate(ServerIndex aServer, bool aOwnZone, bool aCandidate);

  bool Contains(ServerIndex aServer) const
  {
    return aServer < mLocations.size() && mLocations[aServer].group != kAbsent;
  }

  bool Empty() const { return mGroups[0].empty() && mGroups[1].empty(); }

  // `aScore(index)` returns the expected cost of an attempt, or a negative
  // value if the server must not be used for it.
  template<typename Score>
  std::optional<ServerIndex> Pick(Random& aRandom, Score aScore) const
  {
    for (const std::vector<ServerIndex>& group : mGroups) {
      if (auto picked = PickFrom(group, aRandom, aScore)) {
        return picked;
      }
    }
    return std::nullopt;
  }

private:
  static constexpr uint8_t kAbsent = 2;

  struct Location
  {
    uint8_t group = kAbsent;
    uint32_t position = 0;
  };

  template<typename Score>
  static std::optional<ServerIndex> PickFrom(
    const std::vector<ServerIndex>& aGroup,
    Random& aRandom,
    Score aScore)
  {
    if (aGroup.empty()) {
      return std::nullopt;
    }
    auto size = static_cast<uint32_t>(aGroup.size());
    auto first = static_cast<uint32_t>(aRandom.Below(size));
    uint32_t second = first;
    if (size > 1) {
      second =
        static_cast<uint32_t>((first + 1 + aRandom.Below(size - 1)) % size);
    }
    double left = aScore(aGroup[first]);
    double right = second == first ? -1 : aScore(aGroup[second]);
    if (left >= 0 || right >= 0) {
      bool takeLeft = right < 0 || (left >= 0 && left <= right);
      return aGroup[takeLeft ? first : second];
    }
    // Neither candidate is usable, because the request has already tried it or
    // its last announcement has expired. This is rare, so a linear search is
    // acceptable.
    for (uint32_t n = 0; n < size; ++n) {
      ServerIndex it = aGroup[(second + n) % size];
      if (aScore(it) >= 0) {
        return it;
      }
    }
    return std::nullopt;
  }

  // Candidates in the own zone, then those in other zones.
  std::array<std::vector<ServerIndex>, 2> mGroups;
  std::vector<Location> mLocations;
};

} // namespace limpetwood::routing
