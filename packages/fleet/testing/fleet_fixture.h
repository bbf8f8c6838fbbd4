// A dispatcher with its state in virtual time, without a log or a network.
//
// Commands are applied at once, unless commits are held back; orders wait until
// the test answers them.

#pragma once

#include "fleet/dispatcher.h"

#include <string>
#include <vector>

namespace limpetwood::fleet::testing {

class FleetFixture
{
public:
  enum class Fencing
  {
    kAnswered,
    kUnanswered,
  };

  FleetFixture();

  // A worker with eight accelerators that has reported, and that has answered
  // its first renewal unless said otherwise.
  void AddWorker(const std::string& aId,
                 Fencing aFencing = Fencing::kAnswered,
                 const std::string& aRack = "r1");

  // One step of `aTasks` tasks that run together and need a whole worker each.
  static StepSpec GangOf(uint32_t aTasks);
  void Submit(const std::string& aId,
              const StepSpec& aStep,
              int32_t aPriority = 1);

  // Cancels a job, as committed.
  void Cancel(const std::string& aId);

  // Moves time on and lets the dispatcher act.
  void Advance(Millis aTime);
  void HoldCommits(bool aHold) { mHold = aHold; }
  // The log refuses what is to be proposed now.
  void RefuseCommand() { mDispatcher.PutBack(mDispatcher.TakeCommand()); }

  std::vector<Order> TakeOrders(Order::Kind aKind);
  // The only order of a kind; the test fails if there is not exactly one.
  Order ExpectOrder(Order::Kind aKind);
  void DropOrders() { mOrders.clear(); }

  void Answer(const Order& aOrder, OrderResult::Outcome aOutcome);
  void Refuse(const Order& aOrder, OrderRefusal aRefusal);
  // An answer that lists nothing.
  OrderResult RenewAnswer() const;
  // Answers the renewal that is on its way to a worker, if any.
  void AnswerRenewal(const std::string& aWorker, OrderResult aResult);
  // Answers all renewals whose wait is over, with empty lists.
  void AnswerDueRenewals();

  bool IsActive(const Order& aStart) const;
  const FleetState& State() const { return mState; }
  const DispatcherOptions& Options() const { return mOptions; }
  const Dispatcher& Subject() const { return mDispatcher; }
  Millis Now() const { return mNow; }

private:
  void Settle();
  Millis ClockOf() const { return mNow; }

  DispatcherOptions mOptions;
  FleetState mState;
  Millis mNow{ 100'000 };
  Dispatcher mDispatcher;
  std::vector<Order> mOrders;
  bool mHold = false;
};

} // namespace limpetwood::fleet::testing
