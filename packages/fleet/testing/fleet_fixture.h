// A dispatcher and its state in virtual time, without a log or a network.
//
// Commands are committed immediately unless commits are held back. Orders are
// queued until the test answers them.

#pragma once

#include "fleet/dispatcher.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::fleet::testing {

class FleetFixture
{
public:
  // Whether a new worker has answered the renewal that gives it the fencing
  // token.
  enum class Fencing
  {
    kAnswered,
    kUnanswered,
  };

  explicit FleetFixture(DispatcherOptions aOptions = {});

  // Adds a worker with eight accelerators that has reported and, with
  // `kAnswered`, has answered its first renewal.
  void AddWorker(const std::string& aId,
                 Fencing aFencing = Fencing::kAnswered,
                 const std::string& aRack = "r1");

  // Sends a further report of the worker's first process.
  void Heartbeat(const std::string& aId);
  // Reports that the worker's first process drains, and after which time it
  // ends at the earliest.
  void Drain(const std::string& aId, std::optional<Millis> aDepartsIn = {});
  // Ends the process of a worker: renewals that it holds back, and all later
  // ones, get no answer.
  void Crash(const std::string& aId);
  // Another worker answers at the address of a crashed one from now on.
  void ReplaceCrashed(const std::string& aId) { mCrashed.erase(WorkerId(aId)); }
  // Reports a new process of the worker under the same id.
  void Restart(const std::string& aId, Incarnation aIncarnation);
  // Reports that the worker has left. Returns true if the answer has to wait
  // for the next commit.
  bool Leave(const std::string& aId, Incarnation aIncarnation = {});

  // Returns a gang step with `aTasks` tasks that each need all accelerators of
  // a worker.
  static StepSpec GangOf(uint32_t aTasks);

  // Commits a job, even while commits are held back. `aPriority` 0 is the most
  // urgent.
  void Submit(const std::string& aId,
              const StepSpec& aStep,
              int32_t aPriority = 1);

  // Replaces the leader by one that knows the committed state only. Before, no
  // leader recorded reports for `aSilence`.
  void ChangeLeader(Millis aSilence = Millis(0));
  // Sets the capacity that the worker's next reports state.
  void SetCapacity(const std::string& aId, Resources aCapacity)
  {
    mCapacities[aId] = aCapacity;
  }

  // Sets the zone that the worker's next reports state; "z1" by default.
  void SetZone(const std::string& aId, const std::string& aZone)
  {
    mZones[aId] = ZoneId(aZone);
  }
  // Sets how much longer the worker's next reports say that it is slow.
  void SetColdRemaining(const std::string& aId, Millis aTime)
  {
    mColdRemaining[aId] = aTime;
  }
  // Commits an order to evacuate or restore a zone, even while commits are held
  // back.
  void Evacuate(const std::string& aZone);
  void Restore(const std::string& aZone);

  // Commits the cancellation of a job, even while commits are held back.
  void Cancel(const std::string& aId);

  // Advances the time and ticks the dispatcher.
  void Advance(Millis aTime);
  // Sets the duration that is reported for each tick with a planning pass.
  void SetPassTime(Millis aTime) { mPassTime = aTime; }
  void HoldCommits(bool aHold) { mCommitsHeld = aHold; }
  // Simulates a log that does not accept the pending command.
  void RefuseCommand() { mDispatcher->Requeue(mDispatcher->TakeCommand()); }

  std::vector<Order> TakeOrders(Order::Kind aKind);
  // Returns the only queued order of a kind; fails the test if there is not
  // exactly one.
  Order ExpectOrder(Order::Kind aKind);
  void DropOrders() { mOrders.clear(); }

  void Answer(const Order& aOrder, OrderResult::Outcome aOutcome);
  void Deliver(const Order& aOrder, const OrderResult& aResult);
  // Delivers the result of several orders before the next tick.
  void DeliverTogether(const std::vector<Order>& aOrders,
                       const OrderResult& aResult);
  void Refuse(const Order& aOrder, OrderRefusal aRefusal);
  // Returns a successful result that lists no runs.
  OrderResult EmptyRenewalResult() const;
  // Answers the first unanswered renewal to the worker; does nothing if there
  // is none.
  void AnswerRenewal(const std::string& aWorker, OrderResult aResult);
  // Answers with `EmptyRenewalResult` the renewals that workers have held for
  // their maximum time, `Order::wait`.
  void AnswerDueRenewals();

  bool IsActive(const Order& aStart) const;
  const FleetState& State() const { return mState; }
  const DispatcherOptions& Options() const { return mOptions; }
  const Dispatcher& GetDispatcher() const { return *mDispatcher; }
  Millis Now() const { return mNow; }

private:
  void RunUntilIdle();
  void CommitZoneOrder(const std::string& aZone, bool aEvacuate);
  void Report(const std::string& aId,
              Incarnation aIncarnation,
              const std::string& aRack,
              bool aDraining = false,
              std::optional<Millis> aDepartsIn = {});
  Millis WorkerClock() const { return mNow; }

  DispatcherOptions mOptions;
  FleetState mState;
  Millis mNow{ 100'000 };
  FencingToken mToken{ 7 };
  std::unique_ptr<Dispatcher> mDispatcher;
  std::vector<Order> mOrders;
  std::set<WorkerId> mCrashed;
  std::map<std::string, Resources> mCapacities;
  std::map<std::string, ZoneId> mZones;
  std::map<std::string, Millis> mColdRemaining;
  bool mCommitsHeld = false;
  uint64_t mSequence = 0;
  Millis mPassTime{};
};

} // namespace limpetwood::fleet::testing
