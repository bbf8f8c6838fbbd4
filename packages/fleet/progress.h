// Measures the progress of runs and compares it with that of their peers.
//
// Detects workers that stall or run several times slower than others. The
// members of a gang start together, so a member that falls behind its peers
// reveals a faulty worker long before the run is overdue.

#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace limpetwood::fleet {

// Progress of one run as reported by its worker.
class Progress
{
public:
  // Records a report that arrived at `aNow` and that the worker made when its
  // own clock read `aReportedAt`. Rates and standstill are measured on the
  // worker's clock, so that a report that is late does not look like a slow
  // run.
  void Observe(int32_t aPercent, Millis aNow, Millis aReportedAt);
  // The same for a worker whose clock is unknown.
  void Observe(int32_t aPercent, Millis aNow) { Observe(aPercent, aNow, aNow); }

  int32_t Percent() const { return mPercent; }
  // Time of the last increase of the percentage; empty before the first report.
  std::optional<Millis> LastIncreaseAt() const { return mLastIncreaseAt; }
  std::optional<Millis> FirstObservedAt() const { return mFirstObservedAt; }
  // How long the percentage had not increased at the latest report; 0 before
  // the first. Time without a report does not count.
  Millis ObservedStandstill() const;
  // Mean time between two increases by one percent, until the latest increase;
  // empty before the second report with an increase.
  std::optional<Millis> TimePerPercent() const;
  // Percent per second since the first report; empty if the observed time is
  // too short.
  std::optional<double> MeanRate() const;
  // Percent per second in the last complete observation window.
  std::optional<double> RecentRate() const { return mRecentRate; }

private:
  int32_t mPercent = 0;
  int32_t mFirstPercent = 0;
  // On the leader's clock.
  std::optional<Millis> mFirstObservedAt;
  std::optional<Millis> mLastIncreaseAt;
  // On the worker's clock: the first and the latest report, and the latest one
  // with a higher percentage.
  Millis mFirstReportAt;
  Millis mLastReportAt;
  Millis mLastIncreaseReportAt;
  // Start of the current window of the recent rate, on the worker's clock.
  Millis mWindowAt;
  int32_t mWindowPercent = 0;
  std::optional<double> mRecentRate;
};

enum class Pace
{
  // There is nothing to compare with, the run is complete, or its rate is
  // between slow and normal.
  kUnknown,
  kNormal,
  // Much slower than its peers, or than the learned run time suggests.
  kSlow,
  // So slow that a new run on another worker would end sooner.
  kTooSlow,
};

struct PaceInput
{
  const Progress* own = nullptr;
  // The other members of the same gang.
  std::vector<const Progress*> peers{};
  // Median rate of the other runs of the step, in percent per second; used if
  // the step is not a gang.
  std::optional<double> stepRate{};
  // Learned run time of one task, if known.
  std::optional<Millis> learnedTime{};
  // A new run would resume from a checkpoint.
  bool resumesFromCheckpoint = false;
};

Pace
JudgePace(const PaceInput& aInput);

} // namespace limpetwood::fleet
