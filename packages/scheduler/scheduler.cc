#include "scheduler/scheduler.h"

#include "scheduler/internal/core.h"

namespace limpetwood::scheduler {

Scheduler::Scheduler(SchedulerOptions aOptions, Epoch aEpoch)
  : mCore(std::make_unique<Core>(aOptions, aEpoch))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler&
Scheduler::operator=(Scheduler&&) noexcept = default;

std::vector<Effect>
Scheduler::Step(const Event& aEvent, Millis aNow)
{
  return mCore->Step(aEvent, aNow);
}

Millis
Scheduler::NextDeadline() const
{
  return mCore->NextDeadline();
}

std::vector<JobView>
Scheduler::Jobs() const
{
  return mCore->Jobs();
}

std::optional<JobView>
Scheduler::FindJob(const JobId& aJob) const
{
  return mCore->FindJob(aJob);
}

std::vector<WorkerView>
Scheduler::Workers() const
{
  return mCore->Workers();
}

std::optional<WorkerView>
Scheduler::FindWorker(const WorkerId& aWorker) const
{
  return mCore->FindWorker(aWorker);
}

const Counters&
Scheduler::Counts() const
{
  return mCore->Counts();
}

std::vector<std::string>
Scheduler::CheckInvariants() const
{
  return mCore->CheckInvariants();
}

} // namespace limpetwood::scheduler
