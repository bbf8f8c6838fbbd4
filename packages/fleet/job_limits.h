// Limits on a job, checked before it enters the replicated state.
//
// Every replica allocates memory for the tasks of a job when it applies the
// job's first start. A job that no replica can hold would end all of them, and
// again each time they read their logs.

#pragma once

#include "fleet/types.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace limpetwood::fleet {

inline constexpr size_t kMaxSteps = 1000;
// Far above the largest gang that the system is designed for, 128 tasks.
inline constexpr uint32_t kMaxTasksPerStep = 10'000;
// Tasks of all steps in all occurrences.
inline constexpr uint64_t kMaxTasksPerJob = 50'000;
inline constexpr uint32_t kMaxOccurrences = 10'000;
// Resources and times up to this value can be added and multiplied by a number
// of tasks without an overflow.
inline constexpr int64_t kMaxQuantity = 1'000'000'000'000;

inline bool
IsWithinLimits(const StepSpec& aStep, size_t aIndex)
{
  auto inRange = [](int64_t aValue) {
    return aValue >= 0 && aValue <= kMaxQuantity;
  };
  return aStep.tasks > 0 && aStep.tasks <= kMaxTasksPerStep &&
         inRange(aStep.resources.cpu) && inRange(aStep.resources.memoryMb) &&
         inRange(aStep.resources.accelerators) &&
         inRange(aStep.estimate.Count()) &&
         std::all_of(aStep.dependencies.begin(),
                     aStep.dependencies.end(),
                     [&](uint32_t it) { return it < aIndex; });
}

inline bool
IsWithinLimits(const JobSpec& aJob)
{
  if (aJob.steps.empty() || aJob.steps.size() > kMaxSteps ||
      aJob.occurrences > kMaxOccurrences) {
    return false;
  }
  uint64_t tasks = 0;
  for (size_t n = 0; n < aJob.steps.size(); ++n) {
    if (!IsWithinLimits(aJob.steps[n], n)) {
      return false;
    }
    tasks += aJob.steps[n].tasks;
  }
  return tasks * aJob.OccurrenceCount() <= kMaxTasksPerJob;
}

} // namespace limpetwood::fleet
