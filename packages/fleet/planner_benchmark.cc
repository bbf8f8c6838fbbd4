// Benchmark of one planning pass with a backlog, at the sizes of the
// deployments.
//
// Targets: 5 ms for 48 workers and 10 ms for 350, 540 and 1,000.

#include "fleet/planner.h"

#include "base/random.h"

#include <benchmark/benchmark.h>

namespace limpetwood::fleet {
namespace {

const ServiceId kService("service");

// Returns a fleet in which each worker uses five of its eight accelerators for
// single tasks, and `aWaiting` more jobs wait.
FleetState
LoadedFleet(size_t aWorkers, size_t aWaiting)
{
  Random random(1);
  gen::Command command;
  auto submit = [&](uint64_t aNumber, uint32_t aTasks, int64_t aAccelerators) {
    JobSpec spec;
    StepSpec& step = spec.steps.emplace_back();
    step.tasks = aTasks;
    step.gang = aAccelerators > 1;
    step.prefersOneRack = random.Chance(0.7);
    step.resources = { .cpu = 8000,
                       .memoryMb = 1000,
                       .accelerators = aAccelerators };
    step.estimate = Millis(random.Between(1000, 9000));
    gen::SubmitJob job;
    std::string digits = std::to_string(aNumber);
    job.id = std::string(16 - digits.size(), '0') + digits;
    job.queue = "queue-" + std::to_string(aNumber % 3);
    job.serviceId = kService.Value();
    job.spec = ToWire(spec);
    job.priority = static_cast<int32_t>(aNumber % 3);
    job.maxAttempts = 2;
    job.stretch = 2;
    command.jobs.push_back(std::move(job));
  };
  for (size_t n = 0; n < aWorkers; ++n) {
    WorkerReport report;
    report.id = WorkerId("w" + std::to_string(n));
    report.incarnation = Incarnation(1);
    report.service = kService;
    report.rack = RackId("r" + std::to_string(n / 20));
    report.capacity = { .cpu = 128'000,
                        .memoryMb = 512'000,
                        .accelerators = 8 };
    command.workers.push_back(ToWire(report));
    submit(n + 1, 5, 1);
  }
  for (size_t n = 0; n < aWaiting; ++n) {
    submit(100'000 + n,
           static_cast<uint32_t>(random.Between(1, 12)),
           random.Between(1, 8));
  }
  FleetState state;
  state.Apply(command);
  gen::Command starts;
  for (size_t n = 0; n < aWorkers; ++n) {
    std::string digits = std::to_string(n + 1);
    for (uint32_t task = 0; task < 5; ++task) {
      gen::RunStart& start = starts.starts.emplace_back();
      start.task = ToWire(
        TaskRef{ .job = JobId(std::string(16 - digits.size(), '0') + digits),
                 .index = task });
      start.run = 1;
      start.worker = "w" + std::to_string(n);
      start.incarnation = 1;
    }
  }
  state.Apply(starts);
  return state;
}

void
PlanPass(benchmark::State& aState)
{
  auto workers = static_cast<size_t>(aState.range(0));
  FleetState state = LoadedFleet(workers, workers / 2);
  Forecast forecast;
  PlannerOptions options;
  options.callerCost = aState.range(1) != 0;
  for (auto unused : aState) {
    (void)unused;
    Planner planner{ options };
    FleetView view{ .state = &state,
                    .costOf =
                      [](const WorkerId&, const RunRef&) {
                        return RunCost{ .lostWork = Millis(1000) };
                      },
                    .remainingTimeOf =
                      [](const WorkerId&, const RunRef&) {
                        return Millis(3000);
                      },
                    .forecast = &forecast,
                    .now = Millis(1000),
                    .wallNow = Millis(1000) };
    for (const auto& [id, worker] : state.Workers()) {
      view.candidates.push_back(
        { .id = id,
          .service = worker.report.service,
          .report = &worker.report,
          .available = worker.report.capacity - worker.used });
    }
    NumberRacks(view.candidates);
    benchmark::DoNotOptimize(planner.Decide(std::move(view)));
  }
}

BENCHMARK(PlanPass)
  ->ArgNames({ "workers", "caller_cost" })
  ->ArgsProduct({ { 48, 350, 540, 1000 }, { 0, 1 } })
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace limpetwood::fleet

BENCHMARK_MAIN();
