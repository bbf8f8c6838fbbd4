// What callers lose when jobs are delayed, in one unit for all decisions.
//
// Addresses a load with too little capacity: an urgent job can start at once
// only if others are stopped, and stopping costs the work done so far, may make
// the stopped job late, and takes capacity from waiting jobs. The unit is
// the core-second. Lost work counts as it is; the value of a job is converted
// by the value that a core-second yields in the jobs at hand, so that work is
// lost only for something worth more.
//
//   CallerCost cost(state, forecast, wallNow);
//   double limit = cost.GainInTime(urgentJob);
//
// Made anew for each planning pass; no I/O, no clock.

#pragma once

#include "fleet/forecast.h"
#include "fleet/state.h"

#include <map>

namespace limpetwood::fleet {

// Weight of one second of work on these resources, in core equivalents.
double
ResourceWeight(const Resources& aResources);

// Expected run time of the longest chain of dependent steps.
Millis
CriticalPathTime(const Job& aJob, const Forecast& aForecast);

class CallerCost
{
public:
  // `aState` and `aForecast` must outlive the object.
  CallerCost(const FleetState& aState,
             const Forecast& aForecast,
             Millis aWallNow);

  // What the result is worth to its callers if it is in time: a share for the
  // request itself, which does not depend on its size, and one for its work
  // compared with the mean of its queue. Halved for each step of priority.
  double ValueOf(const Job& aJob) const;

  // Work that may be lost so that the job is in time instead of late.
  double GainInTime(const Job& aJob) const;

  // What callers lose beside the work if a run of the job is stopped now and
  // has to start anew. 0 if the result stays in time, or is late or worthless
  // anyway. `aRemaining` and `aTotal` are the expected remaining time of the
  // run and the time of a new one.
  double LossByRestart(const Job& aJob,
                       uint32_t aOccurrence,
                       Millis aRemaining,
                       Millis aTotal) const;

  // Whether the result can have no value any more, even if the job's runs go
  // on for their remaining time.
  bool IsWorthless(const Job& aJob,
                   uint32_t aOccurrence,
                   Millis aRemaining,
                   Millis aTotal) const;

private:
  // Work of one occurrence in core-seconds.
  double WorkOf(const Job& aJob) const;
  // Expected run time of the job in seconds.
  double RunSecondsOf(const Job& aJob) const;
  // Time (wall clock) until which the result is in time. `aTotal` corrects the
  // expected time of a job that turns out to be long.
  Millis InTimeUntil(const Job& aJob,
                     uint32_t aOccurrence,
                     Millis aTotal) const;

  const Forecast& mForecast;
  Millis mWallNow;
  // Mean work of the live jobs of each queue.
  std::map<QueueId, double> mMeanWork;
  // Core-seconds for each unit of value in the jobs at hand.
  double mWorkPerValue = 0;
};

} // namespace limpetwood::fleet
