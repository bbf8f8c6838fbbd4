#include "fleet/codec.h"

#include "base/compact_codec.h"

namespace limpetwood::fleet {

namespace {

// The values are stored and sent; they must not change.
enum StepFlag : int32_t
{
  kGang = 1 << 0,
  kPrefersOneRack = 1 << 1,
  kSavesCheckpoints = 1 << 2,
  kSpeculative = 1 << 3,
  kLongRunning = 1 << 4,
  kUsesIdleCpu = 1 << 5,
};

int32_t
FlagsOf(const StepSpec& aStep)
{
  int32_t flags = 0;
  flags |= aStep.gang ? kGang : 0;
  flags |= aStep.prefersOneRack ? kPrefersOneRack : 0;
  flags |= aStep.savesCheckpoints ? kSavesCheckpoints : 0;
  flags |= aStep.speculative ? kSpeculative : 0;
  flags |= aStep.longRunning ? kLongRunning : 0;
  flags |= aStep.usesIdleCpu ? kUsesIdleCpu : 0;
  return flags;
}

gen::Resources
ToWire(const Resources& aValue)
{
  gen::Resources out;
  out.cpu = aValue.cpu;
  out.memoryMb = aValue.memoryMb;
  out.accelerators = aValue.accelerators;
  return out;
}

Resources
FromWire(const gen::Resources& aValue)
{
  return { .cpu = aValue.cpu,
           .memoryMb = aValue.memoryMb,
           .accelerators = aValue.accelerators };
}

gen::Step
ToWire(const StepSpec& aStep)
{
  gen::Step out;
  out.tasks = static_cast<int32_t>(aStep.tasks);
  out.need = ToWire(aStep.resources);
  out.estimateMs = aStep.estimate.Count();
  out.after.assign(aStep.dependencies.begin(), aStep.dependencies.end());
  out.flags = FlagsOf(aStep);
  out.label = aStep.label;
  out.rack = aStep.rack.Value();
  out.perWorkerLimit = static_cast<int32_t>(aStep.perWorkerLimit);
  out.image = aStep.image;
  out.latencyTargetMs = aStep.latencyTarget.Count();
  out.toleratedAbsences = static_cast<int32_t>(aStep.maxUnavailableTasks);
  return out;
}

StepSpec
FromWire(const gen::Step& aStep)
{
  StepSpec out;
  out.tasks = static_cast<uint32_t>(aStep.tasks);
  out.resources = FromWire(aStep.need);
  out.estimate = Millis(aStep.estimateMs);
  out.dependencies.assign(aStep.after.begin(), aStep.after.end());
  out.gang = (aStep.flags & kGang) != 0;
  out.prefersOneRack = (aStep.flags & kPrefersOneRack) != 0;
  out.savesCheckpoints = (aStep.flags & kSavesCheckpoints) != 0;
  out.speculative = (aStep.flags & kSpeculative) != 0;
  out.longRunning = (aStep.flags & kLongRunning) != 0;
  out.usesIdleCpu = (aStep.flags & kUsesIdleCpu) != 0;
  out.label = aStep.label;
  out.rack = RackId(aStep.rack);
  out.perWorkerLimit = static_cast<uint32_t>(aStep.perWorkerLimit);
  out.image = aStep.image;
  out.latencyTarget = Millis(aStep.latencyTargetMs);
  out.maxUnavailableTasks = static_cast<uint32_t>(aStep.toleratedAbsences);
  return out;
}

gen::Queue
ToWire(const Queue& aQueue)
{
  gen::Queue out;
  out.name = aQueue.name.Value();
  out.host = aQueue.host;
  out.prefix = aQueue.prefix;
  out.serviceId = aQueue.service.Value();
  out.priority = aQueue.priority;
  out.maxAttempts = static_cast<int32_t>(aQueue.maxAttempts);
  out.stretch = aQueue.stretch;
  out.targetLatencyMs = aQueue.targetLatency.Count();
  out.timeoutMs = aQueue.timeout.Count();
  out.isPublic = aQueue.isPublic;
  out.needsAdvice = aQueue.needsAdvice;
  return out;
}

Queue
FromWire(const gen::Queue& aQueue)
{
  return { .name = QueueId(aQueue.name),
           .host = aQueue.host,
           .prefix = aQueue.prefix,
           .service = ServiceId(aQueue.serviceId),
           .priority = aQueue.priority,
           .maxAttempts = static_cast<uint32_t>(aQueue.maxAttempts),
           .stretch = aQueue.stretch,
           .targetLatency = Millis(aQueue.targetLatencyMs),
           .timeout = Millis(aQueue.timeoutMs),
           .isPublic = aQueue.isPublic,
           .needsAdvice = aQueue.needsAdvice };
}

} // namespace

template<typename T>
std::string
Encode(const T& aValue)
{
  return EncodeCompact(aValue);
}

template<typename T>
Result<T>
Decode(std::string_view aBytes)
{
  return DecodeCompact<T>(aBytes, { .maxBytes = kMaxEncodedBytes });
}

template std::string
Encode(const gen::Command&);
template std::string
Encode(const gen::StateSnapshot&);
template std::string
Encode(const gen::Request&);
template std::string
Encode(const gen::Reply&);
template Result<gen::Command> Decode(std::string_view);
template Result<gen::StateSnapshot> Decode(std::string_view);
template Result<gen::Request> Decode(std::string_view);
template Result<gen::Reply> Decode(std::string_view);

gen::JobSpec
ToWire(const JobSpec& aSpec)
{
  gen::JobSpec out;
  out.payload = aSpec.payload;
  for (const StepSpec& it : aSpec.steps) {
    out.steps.push_back(ToWire(it));
  }
  out.firstRunAtMs = aSpec.firstRunAt.Count();
  out.intervalMs = aSpec.interval.Count();
  out.occurrences = static_cast<int32_t>(aSpec.occurrences);
  return out;
}

JobSpec
FromWire(const gen::JobSpec& aSpec)
{
  JobSpec out;
  out.payload = aSpec.payload;
  for (const gen::Step& it : aSpec.steps) {
    out.steps.push_back(FromWire(it));
  }
  out.firstRunAt = Millis(aSpec.firstRunAtMs);
  out.interval = Millis(aSpec.intervalMs);
  out.occurrences = static_cast<uint32_t>(aSpec.occurrences);
  return out;
}

gen::Limits
ToWire(const RequestLimits& aLimits)
{
  gen::Limits out;
  out.headerBytes = aLimits.headerBytes;
  out.bodyBytes = aLimits.bodyBytes;
  out.headerMs = aLimits.headerTime.Count();
  out.idleMs = aLimits.idleTime.Count();
  return out;
}

RequestLimits
FromWire(const gen::Limits& aLimits)
{
  return { .headerBytes = aLimits.headerBytes,
           .bodyBytes = aLimits.bodyBytes,
           .headerTime = Millis(aLimits.headerMs),
           .idleTime = Millis(aLimits.idleMs) };
}

gen::Configuration
ToWire(const Configuration& aConfiguration)
{
  gen::Configuration out;
  out.version = static_cast<int64_t>(aConfiguration.version.Value());
  out.text = aConfiguration.text;
  for (const Queue& it : aConfiguration.queues) {
    out.queues.push_back(ToWire(it));
  }
  for (const Workspace& it : aConfiguration.workspaces) {
    gen::Workspace workspace;
    workspace.name = it.name.Value();
    workspace.keys = it.keys;
    workspace.guaranteedAccelerators = it.guaranteedAccelerators;
    out.workspaces.push_back(std::move(workspace));
  }
  out.limits = ToWire(aConfiguration.limits);
  return out;
}

Configuration
FromWire(const gen::Configuration& aConfiguration)
{
  Configuration out;
  out.version = ConfigVersion(static_cast<uint64_t>(aConfiguration.version));
  out.text = aConfiguration.text;
  for (const gen::Queue& it : aConfiguration.queues) {
    out.queues.push_back(FromWire(it));
  }
  for (const gen::Workspace& it : aConfiguration.workspaces) {
    out.workspaces.push_back(
      { .name = WorkspaceId(it.name),
        .keys = it.keys,
        .guaranteedAccelerators = it.guaranteedAccelerators });
  }
  out.limits = FromWire(aConfiguration.limits);
  return out;
}

gen::WorkerReport
ToWire(const WorkerReport& aReport)
{
  gen::WorkerReport out;
  out.id = aReport.id.Value();
  out.incarnation = static_cast<int64_t>(aReport.incarnation.Value());
  out.address = aReport.address;
  out.serviceId = aReport.service.Value();
  out.zone = aReport.zone.Value();
  out.capacity = ToWire(aReport.capacity);
  out.labels = aReport.labels;
  out.rack = aReport.rack.Value();
  out.machine = aReport.machine;
  out.draining = aReport.draining;
  out.sequence = static_cast<int64_t>(aReport.sequence);
  out.clockMs = aReport.clock.Count();
  out.warmUpMs = aReport.coldRemaining.Count();
  if (aReport.departsIn) {
    out.__set_departsInMs(aReport.departsIn->Count());
  }
  return out;
}

WorkerReport
FromWire(const gen::WorkerReport& aReport)
{
  WorkerReport out;
  out.id = WorkerId(aReport.id);
  out.incarnation = Incarnation(static_cast<uint64_t>(aReport.incarnation));
  out.address = aReport.address;
  out.service = ServiceId(aReport.serviceId);
  out.zone = ZoneId(aReport.zone);
  out.capacity = FromWire(aReport.capacity);
  out.labels = aReport.labels;
  out.rack = RackId(aReport.rack);
  out.machine = aReport.machine;
  out.draining = aReport.draining;
  out.sequence = static_cast<uint64_t>(aReport.sequence);
  out.clock = Millis(aReport.clockMs);
  out.coldRemaining = Millis(aReport.warmUpMs);
  if (aReport.__isset.departsInMs) {
    out.departsIn = Millis(aReport.departsInMs);
  }
  return out;
}

gen::TaskRef
ToWire(const TaskRef& aTask)
{
  gen::TaskRef out;
  out.job = aTask.job.Value();
  out.occurrence = static_cast<int32_t>(aTask.occurrence);
  out.step = static_cast<int32_t>(aTask.step);
  out.index = static_cast<int32_t>(aTask.index);
  return out;
}

TaskRef
FromWire(const gen::TaskRef& aTask)
{
  return { .job = JobId(aTask.job),
           .occurrence = static_cast<uint32_t>(aTask.occurrence),
           .step = static_cast<uint32_t>(aTask.step),
           .index = static_cast<uint32_t>(aTask.index) };
}

} // namespace limpetwood::fleet
