// Workers in virtual time and the network between them and the leader, with
// faults that can be switched on one by one.
//
// Whoever derives from this class plays the leader. Equal seeds and faults
// give equal plays.

#pragma once

#include "fleet/testing/model_worker.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::fleet::testing {

enum Fault : uint32_t
{
  // Orders that get no answer and are carried out seconds later.
  kLateOrders = 1U << 0U,
  kLostOrders = 1U << 1U,
  kLostAnswers = 1U << 2U,
  // Workers that refuse starts for a while, and such that refuse all orders.
  kUnhealthyStarts = 1U << 3U,
  kUnhealthy = 1U << 4U,
  kLeaves = 1U << 5U,
  kCrashes = 1U << 6U,
  // A new process under the id of one that ended.
  kRestarts = 1U << 7U,
  // It executes starts that were sent to the earlier process.
  kStartsOutliveProcess = 1U << 8U,
  // Another worker at the address of one that ended.
  kTakeovers = 1U << 9U,
  // A run ends, and held renewals are answered, as the process ends.
  kLastAnswers = 1U << 10U,
  kHeldCommits = 1U << 11U,
  kRefusedCommands = 1U << 12U,
  kLeaderChanges = 1U << 13U,
  // Workers without contact in one or both directions, at times for longer than
  // a lease.
  kCuts = 1U << 14U,
  kLateReports = 1U << 15U,
  kShortLists = 1U << 16U,
  kGangs = 1U << 17U,
  kCancels = 1U << 18U,
  kPriorities = 1U << 19U,
  kLongRunning = 1U << 20U,
  // The leader's lease lapses within its term.
  kLeaderPauses = 1U << 21U,
  // A new process under the same id executes renewals that were sent to the
  // earlier one: what they acknowledge, and their lease.
  kAcknowledgementsOutliveProcess = 1U << 22U,
  kLeasesOutliveProcess = 1U << 23U,
  // A new process under the same id begins while answers of the earlier one
  // are on their way.
  kFastRestarts = 1U << 24U,
};

inline constexpr uint32_t kAllFaults = (1U << 25U) - 1;

class ModelNetwork : public ModelWorker::Observer
{
public:
  ModelNetwork(uint64_t aSeed, uint32_t aFaults);
  ~ModelNetwork() override = default;
  ModelNetwork(const ModelNetwork&) = delete;
  ModelNetwork& operator=(const ModelNetwork&) = delete;

protected:
  // A worker's process and its contact with the others.
  struct Host
  {
    ModelWorker worker;
    bool draining = false;
    Millis reportAt{};
    Millis leaveAt = Millis::Max();
    Millis endAt = Millis::Max();
    Millis unhealthyUntil{};
    // Orders do not arrive, or answers and reports do not.
    Millis ordersCutUntil{};
    Millis answersCutUntil{};
  };

  virtual void OnReport(const WorkerReport& aReport) = 0;
  virtual void OnLeave(const WorkerId& aWorker, Incarnation aIncarnation) = 0;
  virtual void OnResult(const Order& aOrder, const OrderResult& aResult) = 0;
  virtual void Trace(const WorkerId& aWorker, const std::string& aText) = 0;

  Millis Now() const { return mNow; }
  bool Has(Fault aFault) const { return (mFaults & aFault) != 0; }
  bool Strikes(Fault aFault, double aProbability)
  {
    return Has(aFault) && mRandom.Chance(aProbability * mIntensity);
  }
  Millis Between(int64_t aLow, int64_t aHigh)
  {
    return Millis(mRandom.Between(aLow, aHigh));
  }
  void After(Millis aDelay, std::function<void()> aCall)
  {
    mEvents.emplace(mNow + aDelay, std::move(aCall));
  }
  const std::map<std::string, Host>& Hosts() const { return mHosts; }

  // One end as done completes a gang.
  TaskRef UnitOf(TaskRef aTask) const
  {
    aTask.index = SpecOf(aTask).gang ? 0 : aTask.index;
    return aTask;
  }

  // Advances the time by some milliseconds.
  void AdvanceTime();
  void DisturbHosts();
  // From now on, there are no faults but those of `aKept`.
  void Recover(uint32_t aKept);
  void Send(Order aOrder);
  void AcknowledgeLeave(const WorkerId& aId, Incarnation aIncarnation);

  Random mRandom;

private:
  Millis Latency();
  WorkerId NewId() { return WorkerId("w" + std::to_string(++mLastId)); }
  std::string NewAddress()
  {
    return "127.0.0.1:" + std::to_string(++mLastAddress);
  }
  Host* HostAt(const std::string& aAddress);
  void AddWorker(const WorkerId& aId,
                 const std::string& aAddress,
                 Incarnation aIncarnation);
  void Arrive(uint64_t aExchange, const Order& aOrder);
  void OnAnswer(uint64_t aExchange,
                const Order& aOrder,
                const OrderResult& aResult) override;
  // Passes the first result of an exchange on.
  void Finish(uint64_t aExchange,
              const Order& aOrder,
              const OrderResult& aResult);
  // The members of a gang work from the moment when all are present, and end
  // together.
  void AdvanceGangs();
  void AdvanceHost(Host& aHost);
  // Delivers a report to the leader, at times late or twice.
  void Deliver(const Host& aHost, const std::function<void()>& aCall);
  void Drain(Host& aHost);
  void Leave(Host& aHost);
  void EndProcess(Host& aHost);

  uint32_t mFaults;
  const double mIntensity;
  Millis mNow{ 100'000 };
  // Events at the same time happen in the order of their insertion.
  std::multimap<Millis, std::function<void()>> mEvents;
  // Maps addresses to the processes that listen there.
  std::map<std::string, Host> mHosts;
  uint64_t mLastId = 0;
  uint64_t mLastAddress = 0;
  uint64_t mLastExchange = 0;
  std::set<uint64_t> mOpenExchanges;
};

} // namespace limpetwood::fleet::testing
