// Measures the duration of a scheduling pass and the size of the state with 50,
// 500 and 6,000 workers, and 40,000 running tasks at the largest size. Prints
// one JSON line per size.

#include "scheduler/scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <malloc.h>
#include <new>

namespace {

// Bytes currently allocated, including allocator overhead.
std::size_t gLiveBytes = 0;

} // namespace

void*
operator new(std::size_t aSize)
{
  void* out = std::malloc(aSize);
  if (out == nullptr) {
    throw std::bad_alloc();
  }
  gLiveBytes += malloc_usable_size(out);
  return out;
}

void
operator delete(void* aPointer) noexcept
{
  gLiveBytes -= malloc_usable_size(aPointer);
  std::free(aPointer);
}

void
operator delete(void* aPointer, std::size_t /*aSize*/) noexcept
{
  operator delete(aPointer);
}

namespace limpetwood::scheduler {
namespace {

constexpr uint32_t kZones = 18;
constexpr uint32_t kWorkersPerRack = 8;

class Load
{
public:
  explicit Load(uint32_t aWorkers);

  void Fill();
  void Measure();
  void Print(std::size_t aBytes, double aSmallestMedian) const;
  double Median() const { return mPassTimes[mPassTimes.size() / 2]; }

private:
  void Step(const Event& aEvent, bool aMeasured);
  void Submit(uint32_t aMembers, uint32_t aAccelerators, uint32_t aCores);
  void RunDeadlines(Millis aUntil, bool aMeasured);

  uint32_t mWorkers;
  uint32_t mTasks = 0;
  uint64_t mNext = 0;
  Scheduler mScheduler;
  Millis mNow;
  std::deque<Event> mAnswers;
  std::vector<double> mPassTimes;
};

Load::Load(uint32_t aWorkers)
  : mWorkers(aWorkers)
  , mScheduler({}, Epoch(1))
{
}

void
Load::Step(const Event& aEvent, bool aMeasured)
{
  auto begin = std::chrono::steady_clock::now();
  std::vector<Effect> effects = mScheduler.Step(aEvent, mNow);
  std::chrono::duration<double, std::micro> spent =
    std::chrono::steady_clock::now() - begin;
  if (aMeasured) {
    mPassTimes.push_back(spent.count());
  }
  for (const Effect& it : effects) {
    if (const auto* prepare = std::get_if<SendPrepare>(&it)) {
      const TaskAddress& to = prepare->task;
      mAnswers.emplace_back(PrepareAcknowledged{
        to.worker, to.job, to.attempt, to.member, to.token });
    } else if (const auto* start = std::get_if<SendStart>(&it)) {
      const TaskAddress& to = start->task;
      mAnswers.emplace_back(StartAcknowledged{
        to.worker, to.job, to.attempt, to.member, to.token });
      ++mTasks;
    } else if (const auto* journal = std::get_if<WriteJournalRecord>(&it)) {
      mAnswers.emplace_back(JournalCommitted{ journal->record });
    }
  }
}

void
Load::RunDeadlines(Millis aUntil, bool aMeasured)
{
  while (true) {
    while (!mAnswers.empty()) {
      Event event = std::move(mAnswers.front());
      mAnswers.pop_front();
      Step(event, false);
    }
    Millis next = mScheduler.NextDeadline();
    if (next > aUntil) {
      break;
    }
    mNow = std::max(mNow, next);
    Step(Tick{}, aMeasured);
  }
  mNow = aUntil;
}

void
Load::Submit(uint32_t aMembers, uint32_t aAccelerators, uint32_t aCores)
{
  JobAssigned job;
  job.job = JobId("job-" + std::to_string(mNext));
  job.spec.workspace = WorkspaceId("w" + std::to_string(mNext++ % 290));
  job.spec.members = aMembers;
  job.spec.acceleratorsPerMember = Accelerators(aAccelerators);
  job.spec.coresPerMember = aCores;
  job.spec.memoryMbPerMember = 100;
  job.submittedAt = mNow;
  Step(job, false);
}

void
Load::Fill()
{
  ConfigurationChanged config;
  model::Document& document = config.planned.document;
  uint32_t racks = (mWorkers + kWorkersPerRack - 1) / kWorkersPerRack;
  for (uint32_t z = 0; z < std::min(kZones, racks); ++z) {
    document.zones.emplace_back("zone" + std::to_string(z));
  }
  config.zones = document.zones;
  for (uint32_t r = 0; r < racks; ++r) {
    document.racks.push_back({ RackId("rack" + std::to_string(r)),
                               document.zones[r % document.zones.size()],
                               kWorkersPerRack,
                               Accelerators(2),
                               64,
                               256'000 });
  }
  for (int i = 0; i < 290; ++i) {
    model::Workspace it;
    it.id = WorkspaceId("w" + std::to_string(i));
    it.quota.accelerators = Accelerators(20'000);
    document.workspaces.push_back(it);
  }
  // One guaranteed shape per twenty workers.
  for (uint32_t i = 0; i < mWorkers / 20; ++i) {
    config.planned.plan.shapes.push_back(
      { WorkspaceId("w" + std::to_string(i % 290)),
        { Accelerators(4), model::TopologyScope::kRack },
        document.zones[i % document.zones.size()] });
  }
  Step(config, false);
  for (uint32_t i = 0; i < mWorkers; ++i) {
    WorkerAnnounced it;
    it.worker = WorkerId("worker-" + std::to_string(i));
    const model::Rack& rack = document.racks[i / kWorkersPerRack];
    it.zone = rack.zone;
    it.rack = rack.id;
    it.incarnation = Incarnation(1);
    it.cores = 64;
    it.memoryMb = 256'000;
    // 8,800 accelerators on 6,000 workers.
    it.accelerators = Accelerators(i % 15 < 7 ? 2 : 1);
    it.address = "10.0.0.1:9000";
    Step(it, false);
  }
  RunDeadlines(Millis(1000), false);
  auto targetTasks = static_cast<uint32_t>(40'000.0 * mWorkers / 6000);
  for (uint32_t tasks = 0; tasks < targetTasks; tasks += 4) {
    Submit(4, tasks % 5 == 0 ? 1 : 0, 2);
    if (tasks % 400 == 0) {
      mNow += Millis(20);
      RunDeadlines(mNow, false);
    }
  }
  // Run until all tasks are started, with regular lease renewals.
  for (int i = 0; i < 40 && mTasks < targetTasks; ++i) {
    for (uint32_t n = 0; n < mWorkers; ++n) {
      Step(WorkerRenewed{ WorkerId("worker-" + std::to_string(n)),
                          Incarnation(1),
                          0.5 },
           false);
    }
    RunDeadlines(mNow + Seconds(2), false);
  }
}

void
Load::Measure()
{
  // Submit jobs of different sizes that do not fit, so that each pass performs
  // many searches.
  for (uint32_t i = 0; i < 300; ++i) {
    Submit(60 + i % 69, 2, 8 + i % 16);
  }
  for (int i = 0; i < 100; ++i) {
    mNow += Millis(8);
    for (uint32_t n = 0; n < mWorkers / 600 + 1; ++n) {
      Step(WorkerRenewed{ WorkerId("worker-" + std::to_string(n)),
                          Incarnation(1),
                          0.5 },
           false);
    }
    Submit(1, 1, 1);
    RunDeadlines(mNow + Millis(20), true);
  }
  std::sort(mPassTimes.begin(), mPassTimes.end());
}

void
Load::Print(std::size_t aBytes, double aSmallestMedian) const
{
  double maxTime = mPassTimes.back();
  double p99 = mPassTimes[mPassTimes.size() * 99 / 100];
  std::printf("{\"benchmark\":\"scheduler_cost\",\"workers\":%u,\"tasks\":%u,"
              "\"state_bytes\":%zu,\"state_to_limit\":%.3f,"
              "\"passes\":%zu,\"pass_median_us\":%.1f,\"pass_p99_us\":%.1f,"
              "\"pass_max_us\":%.1f,\"pass_max_to_limit\":%.3f,"
              "\"median_to_smallest\":%.2f}\n",
              mWorkers,
              mTasks,
              aBytes,
              static_cast<double>(aBytes) / (48 << 20),
              mPassTimes.size(),
              Median(),
              p99,
              maxTime,
              maxTime / 10'000,
              aSmallestMedian > 0 ? Median() / aSmallestMedian : 1.0);
}

} // namespace
} // namespace limpetwood::scheduler

int
main()
{
  using namespace limpetwood::scheduler;
  double smallest = 0;
  for (uint32_t workers : { 50U, 500U, 6000U }) {
    std::size_t before = gLiveBytes;
    Load load(workers);
    load.Fill();
    std::size_t bytes = gLiveBytes - before;
    load.Measure();
    load.Print(bytes, smallest);
    if (smallest == 0) {
      smallest = load.Median();
    }
  }
  return 0;
}
