// Measures the replicated log and prints one JSON object per line:
//
// - `commit`: commit latency of three replicas on real files, relative to an
//   append and fdatasync of the same number of bytes in the same run;
// - `restart`: time to open a replica after 1,000 and 100,000 changes;
// - `idle` and `change`: messages, bytes and CPU time of the leader and of one
//   follower, by number of replicas.
//
//   replication_benchmark [folder for files, default "."]

#include "replication/codec.h"
#include "replication/disk.h"
#include "replication/group.h"
#include "replication/memory_disk.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <deque>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace limpetwood::replication {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kCommandBytes = 200;
constexpr int kCommits = 300;
constexpr int kIdleSeconds = 600;

double
MicrosSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(Clock::now() - aStart)
    .count();
}

double
CpuMicros()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

double
Percentile(std::vector<double> aValues, double aFraction)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<size_t>(static_cast<double>(aValues.size() - 1) *
                                     aFraction)];
}

// State machine that keeps the last value of each of 64 keys.
class KeyValueStore : public StateMachine
{
public:
  std::string Apply(uint64_t aIndex, std::string_view aCommand) override
  {
    mValues[aIndex % 64] = std::string(aCommand);
    return {};
  }
  std::string TakeSnapshot() const override
  {
    return nlohmann::json(mValues).dump();
  }
  bool Restore(std::string_view aSnapshot) override
  {
    auto parsed = nlohmann::json::parse(aSnapshot, nullptr, false);
    if (parsed.is_discarded()) {
      return false;
    }
    mValues = parsed.get<std::map<uint64_t, std::string>>();
    return true;
  }

private:
  std::map<uint64_t, std::string> mValues;
};

// A replica with a thread of its own, as in the daemon.
class Replica
{
public:
  Replica(const std::vector<InstanceId>& aVoters,
          size_t aSelf,
          const std::string& aFolder)
    : mSelf(aVoters[aSelf])
  {
    GroupOptions options{ .self = mSelf,
                          .folder = aFolder + "/" + mSelf.Value(),
                          .voters = aVoters,
                          .seed = aSelf };
    auto group = Group::Open(
      std::move(options),
      mStore,
      [this](const InstanceId& aTo, std::string aBytes) {
        mPeers.at(aTo)->Post(
          [from = mSelf, bytes = std::move(aBytes)](Replica& aReplica) {
            aReplica.mGroup->Receive(from, bytes, MonotonicNow());
          });
      });
    mGroup = std::move(group).Value();
  }

  void Connect(std::map<InstanceId, Replica*> aPeers)
  {
    mPeers = std::move(aPeers);
    mThread = std::thread([this] { Run(); });
  }

  void Stop()
  {
    Post([](Replica& aReplica) { aReplica.mStopped = true; });
    mThread.join();
  }

  void Post(std::function<void(Replica&)> aWork)
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mQueue.push_back(std::move(aWork));
    }
    mWake.notify_one();
  }

  const InstanceId& Self() const { return mSelf; }
  Group& Log() { return *mGroup; }

private:
  void Run()
  {
    while (!mStopped) {
      std::deque<std::function<void(Replica&)>> work;
      {
        std::unique_lock<std::mutex> lock(mMutex);
        Millis wait = mGroup->NextTick() - MonotonicNow();
        mWake.wait_for(
          lock,
          std::chrono::milliseconds(std::clamp<int64_t>(wait.Count(), 0, 100)),
          [&] { return !mQueue.empty(); });
        work.swap(mQueue);
      }
      for (auto& it : work) {
        it(*this);
      }
      if (mGroup->NextTick() <= MonotonicNow()) {
        mGroup->Tick(MonotonicNow());
      }
    }
  }

  KeyValueStore mStore;
  std::unique_ptr<Group> mGroup;
  const InstanceId mSelf;
  std::map<InstanceId, Replica*> mPeers;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void(Replica&)>> mQueue;
  bool mStopped = false;
  std::thread mThread;
};

std::vector<InstanceId>
InstanceNames(size_t aCount)
{
  std::vector<InstanceId> out;
  for (size_t i = 0; i < aCount; ++i) {
    out.emplace_back("i" + std::to_string(10 + i));
  }
  return out;
}

// Proposes a command from another thread and waits for the outcome; true if it
// was committed.
bool
ProposeAndWait(Replica& aReplica)
{
  std::mutex mutex;
  std::condition_variable wake;
  std::optional<Verdict> verdict;
  aReplica.Post([&](Replica& aLeader) {
    aLeader.Log().Propose(std::string(kCommandBytes, 'x'),
                          MonotonicNow(),
                          [&](const ProposeOutcome& aOutcome) {
                            std::lock_guard<std::mutex> lock(mutex);
                            verdict = aOutcome.verdict;
                            wake.notify_one();
                          });
  });
  std::unique_lock<std::mutex> lock(mutex);
  wake.wait(lock, [&] { return verdict.has_value(); });
  return *verdict == Verdict::kAnswered;
}

void
MeasureCommit(const std::string& aFolder)
{
  std::vector<std::unique_ptr<Replica>> replicas;
  std::map<InstanceId, Replica*> peers;
  for (size_t i = 0; i < 3; ++i) {
    replicas.push_back(std::make_unique<Replica>(InstanceNames(3), i, aFolder));
    peers[replicas.back()->Self()] = replicas.back().get();
  }
  for (auto& it : replicas) {
    it->Connect(peers);
  }
  size_t leader = 0;
  while (!ProposeAndWait(*replicas[leader])) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    leader = (leader + 1) % 3;
  }
  auto baseline = RealDisk().Create(aFolder + "/bare").Value();
  std::vector<double> commits;
  std::vector<double> syncs;
  // Alternates, so that both measurements see the same load of the machine.
  for (int i = 0; i < kCommits; ++i) {
    auto start = Clock::now();
    if (ProposeAndWait(*replicas[leader])) {
      commits.push_back(MicrosSince(start));
    }
    start = Clock::now();
    if (!baseline->Append(std::string(kCommandBytes + 40, 'x')) &&
        !baseline->Sync()) {
      syncs.push_back(MicrosSince(start));
    }
  }
  for (auto& it : replicas) {
    it->Stop();
  }
  nlohmann::json out{ { "benchmark", "commit" },
                      { "replicas", 3 },
                      { "commits", commits.size() } };
  for (auto [name, part] : { std::pair("p50", 0.5), std::pair("p95", 0.95) }) {
    out["ratio_to_fdatasync_" + std::string(name)] =
      Percentile(commits, part) / Percentile(syncs, part);
    out["fdatasync_us_" + std::string(name)] = Percentile(syncs, part);
  }
  std::cout << out << std::endl;
}

// Replicas in one thread on a simulated clock and simulated disks. The measured
// CPU time includes no network or disk calls.
class SimulatedGroup
{
public:
  explicit SimulatedGroup(size_t aReplicas, size_t aVoters)
    : mDisks(aReplicas)
    , mStores(aReplicas)
    , mNames(InstanceNames(aReplicas))
    , mCpu(aReplicas)
    , mSentBytes(aReplicas)
    , mSentMessages(aReplicas)
    , mReceivedBytes(aReplicas)
  {
    for (size_t i = 0; i < aReplicas; ++i) {
      GroupOptions options{ .self = mNames[i],
                            .folder = "data",
                            .voters = { mNames.begin(),
                                        mNames.begin() +
                                          static_cast<ptrdiff_t>(aVoters) },
                            .seed = i,
                            .disk = &mDisks[i] };
      mGroups.push_back(
        Group::Open(std::move(options),
                    mStores[i],
                    [this, i](const InstanceId& aTo, std::string aBytes) {
                      ++mSentMessages[i];
                      mSentBytes[i] += aBytes.size();
                      mQueue.push_back({ i, aTo, std::move(aBytes) });
                    })
          .Value());
    }
    while (!Leader()) {
      Run(Millis(100));
    }
    // All other replicas become learners.
    for (int i = 0; i < 1000 && Members() < aReplicas; ++i) {
      Run(Millis(500));
      Group& leader = *mGroups[*Leader()];
      for (const Member& it : leader.Status().applicants) {
        leader.AddLearner(it, mNow, [](const ProposeOutcome&) {});
        break;
      }
    }
    Run(Seconds(10));
  }

  std::optional<size_t> Leader() const
  {
    for (size_t i = 0; i < mGroups.size(); ++i) {
      if (mGroups[i]->IsLeader()) {
        return i;
      }
    }
    return std::nullopt;
  }

  size_t Members() const
  {
    Membership it = mGroups[*Leader()]->Status().membership;
    return it.voters.size() + it.learners.size();
  }

  void Run(Millis aTime)
  {
    Millis end = mNow + aTime;
    Deliver();
    while (true) {
      Millis next = end;
      for (auto& it : mGroups) {
        next = std::min(next, it->NextTick());
      }
      mNow = std::max(mNow, next);
      if (mNow >= end) {
        return;
      }
      for (size_t i = 0; i < mGroups.size(); ++i) {
        TickIfDue(i);
      }
      Deliver();
    }
  }

  void ProposeCommands(size_t aCount)
  {
    size_t leader = *Leader();
    for (size_t i = 0; i < aCount; ++i) {
      double start = CpuMicros();
      mGroups[leader]->Propose(
        std::string(kCommandBytes, 'x'), mNow, [](const ProposeOutcome&) {});
      mCpu[leader] += CpuMicros() - start;
      TickIfDue(leader);
      Deliver();
    }
  }

  void ResetCounts()
  {
    std::fill(mCpu.begin(), mCpu.end(), 0);
    std::fill(mSentBytes.begin(), mSentBytes.end(), 0);
    std::fill(mReceivedBytes.begin(), mReceivedBytes.end(), 0);
    std::fill(mSentMessages.begin(), mSentMessages.end(), 0);
  }

  nlohmann::json Counts(double aUnits) const
  {
    size_t leader = *Leader();
    size_t follower = leader == 0 ? 1 : 0;
    auto countsOf = [&](size_t n) {
      return nlohmann::json{
        { "messages_sent", static_cast<double>(mSentMessages[n]) / aUnits },
        { "bytes_sent", static_cast<double>(mSentBytes[n]) / aUnits },
        { "bytes_received", static_cast<double>(mReceivedBytes[n]) / aUnits },
        { "cpu_us", mCpu[n] / aUnits }
      };
    };
    return { { "leader", countsOf(leader) },
             { "follower", countsOf(follower) } };
  }

private:
  struct Packet
  {
    size_t from;
    InstanceId to;
    std::string bytes;
  };

  void TickIfDue(size_t aReplica)
  {
    double start = CpuMicros();
    while (mGroups[aReplica]->NextTick() <= mNow) {
      mGroups[aReplica]->Tick(mNow);
    }
    mCpu[aReplica] += CpuMicros() - start;
  }

  void Deliver()
  {
    while (!mQueue.empty()) {
      Packet packet = std::move(mQueue.front());
      mQueue.pop_front();
      auto to = static_cast<size_t>(
        std::find(mNames.begin(), mNames.end(), packet.to) - mNames.begin());
      mReceivedBytes[to] += packet.bytes.size();
      double start = CpuMicros();
      mGroups[to]->Receive(mNames[packet.from], packet.bytes, mNow);
      mCpu[to] += CpuMicros() - start;
      TickIfDue(to);
    }
  }

  Millis mNow{ 1000 };
  std::vector<MemoryDisk> mDisks;
  std::vector<KeyValueStore> mStores;
  std::vector<InstanceId> mNames;
  std::vector<std::unique_ptr<Group>> mGroups;
  std::deque<Packet> mQueue;
  std::vector<double> mCpu;
  std::vector<uint64_t> mSentBytes;
  std::vector<uint64_t> mSentMessages;
  std::vector<uint64_t> mReceivedBytes;
};

void
MeasureSizes()
{
  for (size_t replicas : { 3, 5, 7, 11, 19 }) {
    size_t voters = std::min<size_t>(replicas, 5);
    SimulatedGroup group(replicas, voters);
    nlohmann::json head{ { "replicas", replicas }, { "voters", voters } };
    group.ResetCounts();
    group.Run(Seconds(kIdleSeconds));
    nlohmann::json idle = group.Counts(kIdleSeconds);
    idle.update(head);
    idle["benchmark"] = "idle";
    idle["unit"] = "per second";
    std::cout << idle << std::endl;
    group.ResetCounts();
    group.ProposeCommands(2000);
    nlohmann::json change = group.Counts(2000);
    change.update(head);
    change["benchmark"] = "change";
    change["unit"] = "per change of 200 bytes";
    std::cout << change << std::endl;
  }
}

void
MeasureRestart(const std::string& aFolder)
{
  for (size_t changes : { 1000, 100000 }) {
    std::string folder = aFolder + "/restart-" + std::to_string(changes);
    GroupOptions options{ .self = InstanceNames(1)[0],
                          .folder = folder,
                          .voters = InstanceNames(1) };
    auto send = [](const InstanceId&, std::string) {};
    Millis now{ 1000 };
    {
      KeyValueStore store;
      auto group = Group::Open(options, store, send).Value();
      while (!group->IsLeader()) {
        now += Millis(100);
        group->Tick(now);
      }
      for (size_t i = 0; i < changes; ++i) {
        group->Propose(
          std::string(kCommandBytes, 'x'), now, [](const auto&) {});
        if (i % 500 == 499) {
          group->Tick(now);
        }
      }
    }
    std::vector<double> opens;
    for (int i = 0; i < 5; ++i) {
      KeyValueStore store;
      auto start = Clock::now();
      auto group = Group::Open(options, store, send).Value();
      opens.push_back(MicrosSince(start));
    }
    uint64_t bytes = 0;
    for (const auto& it : std::filesystem::directory_iterator(folder)) {
      bytes += it.file_size();
    }
    std::cout << nlohmann::json{ { "benchmark", "restart" },
                                 { "changes", changes },
                                 { "open_ms_p50",
                                   Percentile(opens, 0.5) / 1000 },
                                 { "files_bytes", bytes } }
              << std::endl;
  }
}

} // namespace
} // namespace limpetwood::replication

int
main(int argc, char** argv)
{
  std::string folder = std::string(argc > 1 ? argv[1] : ".") +
                       "/replication-benchmark-" +
                       std::to_string(std::random_device()());
  std::filesystem::create_directories(folder);
  limpetwood::replication::MeasureCommit(folder);
  limpetwood::replication::MeasureRestart(folder);
  limpetwood::replication::MeasureSizes();
  std::filesystem::remove_all(folder);
  return 0;
}
