#include "fleet/progress.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

constexpr double kCompletePercent = 100;
// Minimum observation time; shorter ones are unreliable because progress is
// reported in whole percent.
constexpr Millis kMinObservation(450);
// A run is slow below this ratio of the peers' rate, or of the rate derived
// from the learned time. The second ratio is lower because the tasks of one
// queue vary more than the members of one gang.
constexpr double kSlowRatioToPeers = 0.3;
constexpr double kSlowRatioToLearned = 0.2;
// Above this ratio the pace is normal; between the ratios it is unknown.
constexpr double kNormalRatio = 0.6;
// A run is restarted only if its remaining time exceeds that of a new run by
// this factor, because the work done so far is lost.
constexpr double kMinRestartSpeedup = 1.3;
// Overhead of a restart: stop, commit, start and first progress report.
constexpr double kRestartOverheadSeconds = 0.8;

double
SecondsOf(Millis aTime)
{
  return static_cast<double>(aTime.Count()) / 1000;
}

// Median rate of the peers in percent per second; empty if none is known or the
// median is 0.
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
Progress::Observe(int32_t aPercent, Millis aNow, Millis aReportedAt)
{
  if (!mFirstObservedAt) {
    mFirstObservedAt = aNow;
    mLastIncreaseAt = aNow;
    mFirstPercent = aPercent;
    mFirstReportAt = aReportedAt;
    mLastReportAt = aReportedAt;
    mLastIncreaseReportAt = aReportedAt;
    mWindowAt = aReportedAt;
    mWindowPercent = aPercent;
  }
  mLastReportAt = std::max(mLastReportAt, aReportedAt);
  if (aPercent > mPercent) {
    mLastIncreaseAt = aNow;
    mLastIncreaseReportAt = mLastReportAt;
    mPercent = aPercent;
  }
  if (mLastReportAt - mWindowAt >= kMinObservation) {
    mRecentRate =
      (mPercent - mWindowPercent) / SecondsOf(mLastReportAt - mWindowAt);
    mWindowAt = mLastReportAt;
    mWindowPercent = mPercent;
  }
}

Millis
Progress::ObservedStandstill() const
{
  return mLastReportAt - mLastIncreaseReportAt;
}

std::optional<Millis>
Progress::TimePerPercent() const
{
  Millis time = mLastIncreaseReportAt - mFirstReportAt;
  if (!mFirstObservedAt || mPercent <= mFirstPercent || time <= Millis(0)) {
    return std::nullopt;
  }
  return time / (mPercent - mFirstPercent);
}

std::optional<double>
Progress::MeanRate() const
{
  // A completed run made its progress until the last increase.
  Millis end =
    mPercent >= kCompletePercent ? mLastIncreaseReportAt : mLastReportAt;
  if (!mFirstObservedAt || end - mFirstReportAt < kMinObservation) {
    return std::nullopt;
  }
  return (mPercent - mFirstPercent) / SecondsOf(end - mFirstReportAt);
}

Pace
JudgePace(const PaceInput& aInput)
{
  auto ownRate = aInput.own->RecentRate();
  if (!ownRate || aInput.own->Percent() >= kCompletePercent) {
    return Pace::kUnknown;
  }
  auto referenceRate = PeerRate(aInput.peers);
  double slowRatio = kSlowRatioToPeers;
  if (!referenceRate) {
    referenceRate = aInput.stepRate;
  }
  if (!referenceRate && aInput.learnedTime && *aInput.learnedTime > Millis(0)) {
    referenceRate = kCompletePercent / SecondsOf(*aInput.learnedTime);
    slowRatio = kSlowRatioToLearned;
  }
  if (!referenceRate) {
    return Pace::kUnknown;
  }
  if (*ownRate > *referenceRate * kNormalRatio) {
    return Pace::kNormal;
  }
  if (*ownRate > *referenceRate * slowRatio) {
    return Pace::kUnknown;
  }
  double left = kCompletePercent - aInput.own->Percent();
  double newRunSeconds =
    (aInput.resumesFromCheckpoint ? left : kCompletePercent) / *referenceRate;
  bool restartSooner =
    left >
    *ownRate * (newRunSeconds + kRestartOverheadSeconds) * kMinRestartSpeedup;
  return restartSooner ? Pace::kTooSlow : Pace::kSlow;
}

} // namespace limpetwood::fleet
