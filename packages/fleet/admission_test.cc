// Tests which jobs are refused because their result would come too late to be
// of use.

#include "fleet/admission.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

// Returns a job with one step of `aTasks` tasks of 5 s. Its latency objective
// is 1 s + 3 x 5 s = 16 s, so its result has no value after 3 x 16 s = 48 s.
Job
JobWith(uint64_t aNumber, int32_t aPriority, uint32_t aTasks)
{
  Job job;
  std::string digits = std::to_string(aNumber);
  job.id = JobId(std::string(16 - digits.size(), '0') + digits);
  job.queue = QueueId("queue");
  job.priority = aPriority;
  job.stretch = 3;
  job.targetLatency = Millis(1000);
  StepSpec step;
  step.tasks = aTasks;
  step.resources = { .cpu = 1, .memoryMb = 1, .accelerators = 1 };
  step.estimate = Millis(5000);
  job.spec.steps = { step };
  return job;
}

FleetState
BacklogOfTasks(uint32_t aTasks, int32_t aPriority)
{
  Job job = JobWith(1, aPriority, aTasks);
  gen::SubmitJob submit;
  submit.id = job.id.Value();
  submit.queue = "queue";
  submit.spec = ToWire(job.spec);
  submit.priority = aPriority;
  submit.maxAttempts = 1;
  gen::Command command;
  command.jobs.push_back(submit);
  FleetState state;
  state.Apply(command);
  return state;
}

AdmissionVerdict
AdmitNew(const FleetState& aState, int32_t aPriority, int64_t aAccelerators)
{
  Forecast forecast;
  return Admit(JobWith(2, aPriority, 1),
               { .state = &aState,
                 .forecast = &forecast,
                 .usable = { .accelerators = aAccelerators } });
}

// Guards against counting accelerators alone: tasks that fill the memory of a
// worker leave its accelerators idle, and the queue moves as slowly as memory
// becomes free.
TEST(Admission, BacklogCountsTheScarcestResource)
{
  FleetState state = BacklogOfTasks(80, 1);
  Forecast forecast;
  Job job = JobWith(2, 1, 1);
  // 80 tasks of 5 s; by accelerators a wait of 40 s, by memory of 200 s.
  AdmissionInput input{ .state = &state,
                        .forecast = &forecast,
                        .usable = { .memoryMb = 2, .accelerators = 10 } };
  EXPECT_FALSE(Admit(job, input).accepted);
  input.usable.memoryMb = 1000;
  EXPECT_TRUE(Admit(job, input).accepted);
}

// Guards against refusing jobs that would end in time.
TEST(Admission, JobThatEndsInTimeIsAccepted)
{
  // 80 tasks of 5 s on 10 accelerators: a wait of 40 s.
  EXPECT_TRUE(AdmitNew(BacklogOfTasks(80, 1), 1, 10).accepted);
}

// Guards against queueing jobs whose results come too late, and against a retry
// delay shorter than the excess.
TEST(Admission, JobThatEndsTooLateIsRefusedWithARetryDelay)
{
  // A wait of 100 s and a run of 5 s, 57 s more than 48 s.
  AdmissionVerdict verdict = AdmitNew(BacklogOfTasks(200, 1), 1, 10);
  EXPECT_FALSE(verdict.accepted);
  EXPECT_GE(verdict.retryAfter, Seconds(57));
  // The delay has up to 25 % of jitter.
  EXPECT_LE(verdict.retryAfter, Millis(57'000 * 125 / 100));
}

// Guards against refusing urgent jobs, whatever the backlog.
TEST(Admission, UrgentJobIsNeverRefused)
{
  EXPECT_TRUE(AdmitNew(BacklogOfTasks(2000, 0), 0, 10).accepted);
}

// Guards against counting less urgent jobs, which the new job overtakes, as
// backlog.
TEST(Admission, LessUrgentJobsAreNoBacklog)
{
  EXPECT_TRUE(AdmitNew(BacklogOfTasks(2000, 2), 1, 10).accepted);
}

// Guards against refusing jobs while no worker has joined yet: the wait cannot
// be estimated, and workers may be about to join.
TEST(Admission, WithoutWorkersNothingIsRefused)
{
  EXPECT_TRUE(AdmitNew(BacklogOfTasks(2000, 1), 1, 0).accepted);
}

} // namespace
} // namespace limpetwood::fleet
