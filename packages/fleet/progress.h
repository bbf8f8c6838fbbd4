// Judges the progress of a run against that of its peers.
//
// Answers workers that stand still or run several times slower than others: the
// members of a gang start together, so one that lags behind its peers shows its
// worker long before the run would be overdue.

#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace limpetwood::fleet {

// Progress of one run as its worker reports it.
class Progress
{
public:
  void Observe(int32_t aPercent, Millis aNow);

  int32_t Percent() const { return mPercent; }
  // When the percentage last grew; empty before the first report.
  std::optional<Millis> GrewAt() const { return mGrewAt; }
  std::optional<Millis> FirstAt() const { return mFirstAt; }
  // Percent per second over the whole time it was observed; empty if that was
  // too short to tell.
  std::optional<double> MeanRate() const;
  // The same over the last observations.
  std::optional<double> RecentRate() const { return mRecentRate; }

private:
  int32_t mPercent = 0;
  std::optional<Millis> mFirstAt;
  int32_t mFirstPercent = 0;
  std::optional<Millis> mGrewAt;
  Millis mLastAt;
  // Begin of the window of the recent rate.
  Millis mWindowAt;
  int32_t mWindowPercent = 0;
  std::optional<double> mRecentRate;
};

enum class Pace
{
  kUnknown,
  kSteady,
  // Slower than its peers.
  kLagging,
  // So slow that starting anew elsewhere ends sooner.
  kHopeless,
};

struct PaceInput
{
  const Progress* own = nullptr;
  // Other members of the same gang.
  std::vector<const Progress*> peers{};
  // Expected time of one task, where it was learned.
  std::optional<Millis> expected{};
  // A new run goes on from a checkpoint.
  bool resumes = false;
};

Pace
Judge(const PaceInput& aInput);

} // namespace limpetwood::fleet
