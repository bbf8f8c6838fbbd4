// Random schedules of faults on a simulated group.

#pragma once

#include "replication/testing/cluster.h"

namespace limpetwood::replication::testing {

struct ScheduleResult
{
  // As `Checker::Violation`; empty if all checks passed.
  std::string violation;
  // Proposals and reads that succeeded.
  uint64_t answered = 0;
  uint64_t reads = 0;
  // How often each fault occurred, by name.
  std::map<std::string, uint64_t> faults;
};

// Runs one schedule: faults of all kinds for 40 s of simulated time. Then all
// faults are removed, and the group must serve again and its replicas must
// agree. `aTrace` prints the run to standard output.
ScheduleResult
RunSchedule(uint64_t aSeed, const TestFaults& aFaults, bool aTrace);

} // namespace limpetwood::replication::testing
