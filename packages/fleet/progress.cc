#include "fleet/progress.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

constexpr double kAllDone = 100;
// Shorter observations say little, as progress comes in whole percent.
constexpr Millis kShortest(450);
// Parts of the peers' rate, and of the rate that the learned time gives. Tasks
// of one queue differ by more than the members of one gang.
constexpr double kLagsBehindPeers = 0.3;
constexpr double kLagsBehindExpected = 0.2;
constexpr double kSteadyPart = 0.6;
// A new run must end this much sooner to be worth the loss of the old one.
constexpr double kClearlySooner = 1.3;
// Stop, commit, start and first progress of a new run.
constexpr double kRestartSeconds = 0.8;

double
SecondsOf(Millis aTime)
{
  return static_cast<double>(aTime.Count()) / 1000;
}

std::optional<double>
PeerRate(const std::vector<const Progress*>& aPeers)
{
  std::vector<double> rates;
  for (const Progress* it : aPeers) {
    if (auto rate = it->MeanRate()) {
      rates.push_back(*rate);
    }
  }
  if (rates.empty()) {
    return std::nullopt;
  }
  auto middle = rates.begin() + static_cast<ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle > 0 ? std::optional(*middle) : std::nullopt;
}

} // namespace

void
Progress::Observe(int32_t aPercent, Millis aNow)
{
  if (!mFirstAt) {
    mFirstAt = aNow;
    mFirstPercent = aPercent;
    mGrewAt = aNow;
    mWindowAt = aNow;
    mWindowPercent = aPercent;
  }
  if (aPercent > mPercent) {
    mGrewAt = aNow;
    mPercent = aPercent;
  }
  mLastAt = aNow;
  if (aNow - mWindowAt >= kShortest) {
    mRecentRate = (mPercent - mWindowPercent) / SecondsOf(aNow - mWindowAt);
    mWindowAt = aNow;
    mWindowPercent = mPercent;
  }
}

std::optional<double>
Progress::MeanRate() const
{
  // A run that is through made its progress until it last grew.
  Millis end = mPercent >= kAllDone ? mGrewAt.value_or(mLastAt) : mLastAt;
  if (!mFirstAt || end - *mFirstAt < kShortest) {
    return std::nullopt;
  }
  return (mPercent - mFirstPercent) / SecondsOf(end - *mFirstAt);
}

Pace
Judge(const PaceInput& aInput)
{
  auto own = aInput.own->RecentRate();
  if (!own || aInput.own->Percent() >= kAllDone) {
    return Pace::kUnknown;
  }
  auto reference = PeerRate(aInput.peers);
  double part = kLagsBehindPeers;
  if (!reference && aInput.expected && *aInput.expected > Millis(0)) {
    reference = kAllDone / SecondsOf(*aInput.expected);
    part = kLagsBehindExpected;
  }
  if (!reference) {
    return Pace::kUnknown;
  }
  if (*own > *reference * kSteadyPart) {
    return Pace::kSteady;
  }
  if (*own > *reference * part) {
    return Pace::kUnknown;
  }
  double left = kAllDone - aInput.own->Percent();
  double anew = (aInput.resumes ? left : kAllDone) / *reference;
  bool sooner = left > *own * (anew + kRestartSeconds) * kClearlySooner;
  return sooner ? Pace::kHopeless : Pace::kLagging;
}

} // namespace limpetwood::fleet
