// Emulates a fleet in virtual time: workers with faults and a job load, driving
// the real dispatcher and planner.
//
//   Emulator emulator(options);
//   Outcomes outcomes = emulator.Run();
//
// Workers behave like those of the platform: a gang makes progress while all
// its members are present, a stop takes time, and a worker may hang, run
// slower, fail its runs, be crashed by a task or change its capacity. Runs with
// the same seed are identical.

#pragma once

#include "fleet/dispatcher.h"
#include "fleet/experiment/metrics.h"
#include "fleet/experiment/options.h"
#include "fleet/experiment/workers.h"
#include "fleet/experiment/workload.h"

#include <utility>
#include <vector>

namespace limpetwood::fleet::experiment {

class Emulator
{
public:
  explicit Emulator(EmulatorOptions aOptions);
  Emulator(const Emulator&) = delete;
  Emulator& operator=(const Emulator&) = delete;

  Outcomes Run();

  const FleetState& State() const { return mState; }
  const DispatcherCounters& Counters() const { return mDispatcher.Counters(); }

private:
  // Submits the jobs that arrive or return, and sends the cancellations.
  void SendRequests();
  void Submit(gen::SubmitJob aJob);
  void HandleDecisions();
  // Whether nothing is left to do after the last arrival.
  bool IsDrained() const;
  void Commit();

  const EmulatorOptions mOptions;
  FleetState mState;
  Millis mNow{ 1'000'000 };
  const Millis mBegin = mNow;
  Dispatcher mDispatcher;
  Workload mWorkload;
  Metrics mMetrics;
  EmulatedWorkers mWorkers;
  // Proposed commands with their commit times.
  std::vector<std::pair<Millis, gen::Command>> mProposed;
};

} // namespace limpetwood::fleet::experiment
