// A small pseudo-random number generator for code that must be reproducible.
//
// SplitMix64: deterministic for a seed on every platform, unlike the
// distributions of the standard library, so that a failing seed can be
// replayed. Not for cryptography.

#pragma once

#include "base/time.h"

#include <cstdint>
#include <limits>

namespace limpetwood {

class Random
{
public:
  using result_type = uint64_t;

  explicit constexpr Random(uint64_t aSeed)
    : mState(aSeed)
  {
  }

  static constexpr uint64_t min() { return 0; }
  static constexpr uint64_t max()
  {
    return std::numeric_limits<uint64_t>::max();
  }

  constexpr uint64_t operator()()
  {
    mState += 0x9e3779b97f4a7c15ULL;
    uint64_t z = mState;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  // Uniform in [0, aBound) up to a bias of aBound / 2^64. Requires aBound > 0.
  constexpr uint64_t Below(uint64_t aBound) { return (*this)() % aBound; }

  // Uniform in [aLow, aHigh].
  constexpr int64_t Between(int64_t aLow, int64_t aHigh)
  {
    auto span = static_cast<uint64_t>(aHigh - aLow) + 1;
    return aLow + static_cast<int64_t>(Below(span));
  }

  constexpr Millis Between(Millis aLow, Millis aHigh)
  {
    return Millis(Between(aLow.Count(), aHigh.Count()));
  }

  // Uniform in [0, 1).
  constexpr double UniformDouble()
  {
    return static_cast<double>((*this)() >> 11) * 0x1.0p-53;
  }

  constexpr bool Chance(double aProbability)
  {
    return UniformDouble() < aProbability;
  }

private:
  uint64_t mState;
};

} // namespace limpetwood
