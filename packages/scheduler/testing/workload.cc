#include "scheduler/testing/workload.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::scheduler::testing {

using model::TopologyScope;

namespace {

Millis
Exponential(Random& aRandom, Millis aMean, Millis aMin, Millis aMax)
{
  double value =
    -std::log(1 - aRandom.UniformDouble()) * static_cast<double>(aMean.Count());
  return std::clamp(Millis(static_cast<int64_t>(value)), aMin, aMax);
}

class WorkloadBuilder
{
public:
  WorkloadBuilder(const Deployment& aDeployment, uint64_t aSeed)
    : mDeployment(aDeployment)
    , mRandom(aSeed)
  {
  }

  Workload Build(const std::string& aBurst, double aLoad);

private:
  void BuildDocument();
  double Add(const std::string& aKind, Millis aAt);
  void AddBursts(const std::string& aBurst);
  void AddReclaims();

  Deployment mDeployment;
  Random mRandom;
  Workload mWorkload;
  double mOfferedTime = 0;
  int mNextJob = 0;
};

void
WorkloadBuilder::BuildDocument()
{
  model::Document& document = mWorkload.planned.document;
  uint32_t racks = 0;
  for (uint32_t z = 0; z < mDeployment.zones; ++z) {
    ZoneId zone("zone" + std::to_string(z));
    document.zones.push_back(zone);
    for (uint32_t r = 0; r < mDeployment.racksPerZone; ++r, ++racks) {
      document.racks.push_back({ RackId("rack" + std::to_string(racks)),
                                 zone,
                                 mDeployment.workersPerRack,
                                 // All workers have 8 accelerators;
                                 // baseline.cc assumes the same.
                                 Accelerators(8),
                                 mDeployment.coresPerWorker,
                                 130'000 });
    }
  }
  mWorkload.accelerators = racks * mDeployment.workersPerRack * 8;
  for (const char* id : { "a", "b", "c", "g" }) {
    model::Workspace it;
    it.id = WorkspaceId(id);
    it.quota.accelerators = Accelerators(mWorkload.accelerators);
    document.workspaces.push_back(it);
  }
  document.policy = mDeployment.weights;
  auto addShape = [&](const char* aId,
                      uint32_t aCount,
                      TopologyScope aTopologyScope,
                      uint32_t aZone) {
    mWorkload.planned.plan.shapes.push_back(
      { WorkspaceId(aId),
        { Accelerators(aCount), aTopologyScope },
        document.zones[aZone] });
  };
  addShape("g", 32, TopologyScope::kRack, 0);
  addShape("a", 8, TopologyScope::kWorker, 1);
  addShape("a", 8, TopologyScope::kWorker, 1);
  addShape("b", 16, TopologyScope::kRack, 2);
}

// Adds a job and returns its accelerator time in milliseconds.
double
WorkloadBuilder::Add(const std::string& aKind, Millis aAt)
{
  Arrival it;
  it.at = aAt;
  it.kind = aKind;
  it.job = JobId("j" + std::to_string(mNextJob++));
  static constexpr const char* kWorkspaces[] = { "a", "b", "c" };
  it.spec.workspace = WorkspaceId(kWorkspaces[mRandom.Below(3)]);
  it.spec.coresPerMember = 2;
  Millis mean = Minutes(12);
  if (aKind == "small") {
    it.spec.acceleratorsPerMember = Accelerators(1 + mRandom.Below(2));
    it.spec.topologyScope = TopologyScope::kWorker;
  } else if (aKind == "medium") {
    it.spec.acceleratorsPerMember = Accelerators(mRandom.Chance(0.5) ? 4 : 8);
    it.spec.topologyScope = TopologyScope::kWorker;
    mean = Minutes(30);
  } else {
    it.spec.members = aKind == "reclaim" ? 4 : 2 + mRandom.Below(3);
    it.spec.acceleratorsPerMember = Accelerators(8);
    it.spec.topologyScope = TopologyScope::kRack;
    mean = Minutes(50);
  }
  it.behavior.runTime = Exponential(mRandom, mean, Seconds(30), mean * 5);
  if (aKind == "reclaim") {
    it.spec.workspace = WorkspaceId("g");
    it.behavior.runTime = Minutes(15);
  }
  // Declared run times deviate by up to a factor of ten in either direction.
  double factor = std::pow(10.0, 2 * mRandom.UniformDouble() - 1);
  it.spec.declaredRunTime = Millis(static_cast<int64_t>(
    factor * static_cast<double>(it.behavior.runTime.Count())));
  it.spec.checkpointable = mRandom.Chance(0.7);
  if (aKind != "reclaim") {
    if (mRandom.Chance(0.05)) {
      it.cancelAt = aAt + mRandom.Between(Minutes(1), Minutes(30));
    }
    if (mRandom.Chance(0.02)) {
      // An erroneous size that fits no rack.
      it.spec.members = 100;
      it.spec.topologyScope = TopologyScope::kRack;
      it.spec.acceleratorsPerMember = Accelerators(8);
    }
  }
  bool impossible = it.spec.members == 100;
  double work = impossible ? 0
                           : static_cast<double>(it.behavior.runTime.Count()) *
                               it.spec.TotalAccelerators().Value();
  mWorkload.arrivals.push_back(std::move(it));
  return work;
}

void
WorkloadBuilder::AddBursts(const std::string& aBurst)
{
  bool small = aBurst == "small";
  Millis period = small ? Hours(2) : Hours(3);
  int count = small ? 80 : 8;
  for (Millis at = Hours(1); at < mWorkload.window; at += period) {
    for (int i = 0; i < count; ++i) {
      mOfferedTime += Add(aBurst, at + mRandom.Between(Millis(0), Minutes(1)));
    }
  }
}

void
WorkloadBuilder::AddReclaims()
{
  for (Millis at = Minutes(50); at < mWorkload.window; at += Minutes(100)) {
    mOfferedTime += Add("reclaim", at);
  }
}

Workload
WorkloadBuilder::Build(const std::string& aBurst, double aLoad)
{
  BuildDocument();
  AddBursts(aBurst);
  AddReclaims();
  double capacity =
    static_cast<double>(mWorkload.window.Count()) * mWorkload.accelerators;
  // Divide the remaining load equally between the kinds of jobs.
  double remaining = aLoad * capacity - mOfferedTime;
  for (const char* kind : { "small", "medium", "large" }) {
    double added = 0;
    while (added < remaining / 3) {
      added += Add(kind, mRandom.Between(Millis(0), mWorkload.window));
    }
  }
  std::sort(mWorkload.arrivals.begin(),
            mWorkload.arrivals.end(),
            [](const Arrival& x, const Arrival& y) {
              return std::pair(x.at, x.job) < std::pair(y.at, y.job);
            });
  std::size_t workers = mWorkload.accelerators / 8;
  for (int i = 0; i < 2; ++i) {
    Millis from = mRandom.Between(Hours(1), mWorkload.window - Hours(3));
    mWorkload.faulty.push_back(
      { mRandom.Below(workers), from, from + Hours(2) });
  }
  return std::move(mWorkload);
}

} // namespace

Workload
MakeWorkload(const Deployment& aDeployment,
             const std::string& aBurst,
             double aLoad,
             uint64_t aSeed)
{
  return WorkloadBuilder(aDeployment, aSeed).Build(aBurst, aLoad);
}

bool
IsLarger(const model::JobSpec& aLeft, const model::JobSpec& aRight)
{
  auto key = [](const model::JobSpec& it) {
    return std::tuple(it.TotalAccelerators().Value(),
                      -static_cast<int>(it.topologyScope),
                      it.acceleratorsPerMember.Value());
  };
  return key(aLeft) > key(aRight);
}

double
FragmentedShare(const std::vector<std::vector<uint32_t>>& aFree,
                const model::JobSpec& aLargest)
{
  double free = 0;
  double serving = 0;
  uint32_t need = std::max(1U, aLargest.acceleratorsPerMember.Value());
  for (const std::vector<uint32_t>& rack : aFree) {
    uint32_t rackFree = 0;
    uint32_t rackFits = 0;
    uint32_t workersServing = 0;
    for (uint32_t n : rack) {
      rackFree += n;
      rackFits += n / need;
      workersServing += n / need >= aLargest.members ? n : 0;
    }
    free += rackFree;
    if (aLargest.topologyScope == TopologyScope::kWorker) {
      serving += workersServing;
    } else if (rackFits >= aLargest.members) {
      serving += rackFree;
    }
  }
  return free == 0 ? 0 : 1 - serving / free;
}

Millis
ReclaimBound(const SchedulerOptions& aOptions)
{
  return aOptions.checkpointDeadline + aOptions.throttleDuration +
         aOptions.stopRetryInterval + aOptions.prepareTimeout +
         aOptions.startTimeout;
}

PolicyResult
RunLimpetwood(const Workload& aWorkload, const SchedulerOptions& aOptions)
{
  constexpr Millis kSampleInterval = Seconds(30);
  ClusterOptions options;
  options.check = false;
  options.scheduler = aOptions;
  Cluster cluster(options);
  cluster.Configure(aWorkload.planned);
  cluster.AddWorkers();
  // Arrivals begin after the workers have announced themselves.
  const Millis start = Seconds(20);
  cluster.RunUntil(start);
  for (const Arrival& it : aWorkload.arrivals) {
    cluster.RunAt(start + it.at, [&cluster, &it] {
      cluster.Submit(it.job, it.spec, it.behavior);
    });
    if (it.cancelAt > Millis()) {
      cluster.RunAt(start + it.cancelAt,
                    [&cluster, &it] { cluster.Cancel({ it.job }); });
    }
  }
  for (const FaultyPeriod& it : aWorkload.faulty) {
    cluster.RunAt(start + it.from, [&cluster, it] {
      cluster.Workers()[it.worker].faulty = true;
    });
    cluster.RunAt(start + it.to, [&cluster, it] {
      cluster.Workers()[it.worker].faulty = false;
    });
  }
  PolicyResult out;
  double usedTime = 0;
  double samples = 0;
  model::JobSpec guaranteed;
  guaranteed.members = 4;
  guaranteed.acceleratorsPerMember = Accelerators(8);
  guaranteed.topologyScope = TopologyScope::kRack;
  uint32_t workersPerRack = aWorkload.planned.document.racks.front().workers;
  auto anyJobOpen = [&] {
    return std::any_of(cluster.Jobs().begin(),
                       cluster.Jobs().end(),
                       [](const auto& it) { return !it.second.endKind; });
  };
  Millis now = start;
  while (now < start + aWorkload.window || anyJobOpen()) {
    now += kSampleInterval;
    cluster.RunUntil(now);
    out.violations += cluster.GetScheduler().CheckInvariants().size();
    double inUse = 0;
    std::vector<std::vector<uint32_t>> free;
    std::size_t n = 0;
    // Workers are listed in the order of their announcement; group them by
    // rack.
    std::map<std::string, std::vector<uint32_t>> racks;
    for (const WorkerView& it : cluster.GetScheduler().Workers()) {
      inUse += it.acceleratorsUsed.Value();
      racks[it.rack.Value()].push_back(it.accelerators.Value() -
                                       it.acceleratorsUsed.Value());
      ++n;
    }
    free.reserve(racks.size());
    for (auto& [id, workers] : racks) {
      free.push_back(std::move(workers));
    }
    usedTime += inUse * static_cast<double>(kSampleInterval.Count());
    if (now <= start + aWorkload.window && n == free.size() * workersPerRack) {
      model::JobSpec largest = guaranteed;
      for (const JobView& it : cluster.GetScheduler().Jobs()) {
        const model::JobSpec& spec = cluster.Jobs().at(it.job).spec;
        // Jobs with 100 members fit no rack and are not counted.
        if (it.state == model::JobState::kQueued && spec.members < 100 &&
            IsLarger(spec, largest)) {
          largest = spec;
        }
      }
      out.fragmentation += FragmentedShare(free, largest);
      out.utilization += inUse / aWorkload.accelerators;
      samples += 1;
    }
    // Gives up on jobs that have not ended by then.
    if (now > start + aWorkload.window * 4) {
      break;
    }
  }
  out.fragmentation /= samples;
  out.utilization /= samples;
  out.drainTime = now - start - aWorkload.window;
  double usefulTime = 0;
  for (const Arrival& it : aWorkload.arrivals) {
    const JobRecord& record = cluster.Jobs().at(it.job);
    if (it.kind == "reclaim") {
      Millis wait = record.firstStart - record.submittedAt;
      out.reclaimWaits.push_back(wait);
      out.missedReclaims +=
        record.firstStart < Millis() || wait > ReclaimBound(aOptions) ? 1 : 0;
    }
    if (record.succeeded) {
      usefulTime += static_cast<double>(it.behavior.runTime.Count()) *
                    it.spec.TotalAccelerators().Value();
      out.succeededJobs.push_back({ it.kind,
                                    record.firstStart - record.submittedAt,
                                    record.endedAt - record.submittedAt });
    }
  }
  out.lostWorkShare =
    usedTime > 0 ? std::max(0.0, 1 - usefulTime / usedTime) : 0;
  out.violations += cluster.Violations().size();
  return out;
}

} // namespace limpetwood::scheduler::testing
