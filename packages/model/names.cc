// JSON names of the enumerators of `document.h` and `job.h`.

#include "model/document.h"
#include "model/job.h"

namespace limpetwood::model {

namespace {

template<typename T, typename Name, size_t N>
std::optional<T>
FindByName(const T (&aValues)[N], Name aName, std::string_view aText)
{
  for (T it : aValues) {
    if (aText == aName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

constexpr TopologyScope kTopologyScopes[] = { TopologyScope::kWorker,
                                              TopologyScope::kRack,
                                              TopologyScope::kZone };

constexpr Priority kPriorities[] = { Priority::kBatch,
                                     Priority::kNormal,
                                     Priority::kUrgent };

constexpr JobState kJobStates[] = {
  JobState::kQueued,     JobState::kStarting,   JobState::kRunning,
  JobState::kPreempting, JobState::kSucceeded,  JobState::kFailed,
  JobState::kCancelled,  JobState::kImpossible,
};

} // namespace

const char*
TopologyScopeName(TopologyScope aScope)
{
  switch (aScope) {
    case TopologyScope::kWorker:
      return "worker";
    case TopologyScope::kRack:
      return "rack";
    case TopologyScope::kZone:
      break;
  }
  return "zone";
}

std::optional<TopologyScope>
ParseTopologyScope(std::string_view aName)
{
  return FindByName(kTopologyScopes, TopologyScopeName, aName);
}

const char*
PriorityName(Priority aPriority)
{
  switch (aPriority) {
    case Priority::kBatch:
      return "batch";
    case Priority::kNormal:
      return "normal";
    case Priority::kUrgent:
      break;
  }
  return "urgent";
}

std::optional<Priority>
ParsePriority(std::string_view aName)
{
  return FindByName(kPriorities, PriorityName, aName);
}

const char*
JobStateName(JobState aState)
{
  switch (aState) {
    case JobState::kQueued:
      return "queued";
    case JobState::kStarting:
      return "starting";
    case JobState::kRunning:
      return "running";
    case JobState::kPreempting:
      return "preempting";
    case JobState::kSucceeded:
      return "succeeded";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
    case JobState::kImpossible:
      break;
  }
  return "impossible";
}

std::optional<JobState>
ParseJobState(std::string_view aName)
{
  return FindByName(kJobStates, JobStateName, aName);
}

} // namespace limpetwood::model
