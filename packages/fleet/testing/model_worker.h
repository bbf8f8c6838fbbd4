// A worker's process in virtual time that follows the platform's protocol:
// fencing, leases on its own clock, numbered ends, and renewals that wait.
//
// Performs no I/O and reads no clock; the observer carries its answers.

#pragma once

#include "base/random.h"
#include "fleet/order.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetwood::fleet::testing {

struct ModelRun
{
  Millis startedAt{};
  // Empty while a gang is incomplete.
  std::optional<Millis> duration{};
  std::optional<Millis> stopsAt{};
  EndKind end = EndKind::kDone;
};

struct ModelEnd
{
  EndedRun end{};
  Millis endedAt{};
};

class ModelWorker
{
public:
  class Observer
  {
  public:
    virtual ~Observer() = default;
    virtual const StepSpec& SpecOf(const TaskRef& aTask) const = 0;
    // A run is about to start. `aFits` is false if it exceeds the capacity.
    virtual void OnStart(const ModelWorker& aWorker,
                         const RunRef& aRun,
                         bool aFits) = 0;
    virtual void OnEnd(const ModelWorker& aWorker, const EndedRun& aEnd) = 0;
    virtual void OnAcknowledged(const ModelWorker& aWorker,
                                const ModelEnd& aEnd) = 0;
    // The lease lapsed after the end and before its acknowledgement.
    virtual void OnLapsed(const ModelEnd& aEnd) = 0;
    // `aExchange` is the one that was passed to `Execute` with the order.
    virtual void OnAnswer(uint64_t aExchange,
                          const Order& aOrder,
                          const OrderResult& aResult) = 0;
  };

  struct Options
  {
    WorkerId id{};
    Incarnation incarnation{};
    std::string address{};
    Millis bornAt{};
    // Of the time that passes, on the clock of the process.
    int64_t clockPercent = 100;
    bool guardsCapacity = false;
    // Maximum number of ends in one answer.
    size_t maxListedEnds = 500;
    Millis maxLease{};
    Millis maxStopTime{};
  };

  struct HeldRenewal
  {
    uint64_t exchange = 0;
    Order order{};
    Millis dueAt{};
  };

  ModelWorker(Options aOptions, Random& aRandom, Observer& aObserver)
    : mOptions(std::move(aOptions))
    , mRandom(aRandom)
    , mObserver(aObserver)
  {
  }

  const WorkerId& Id() const { return mOptions.id; }
  Incarnation CurrentIncarnation() const { return mOptions.incarnation; }
  const std::string& Address() const { return mOptions.address; }
  const std::map<RunRef, ModelRun>& Runs() const { return mRuns; }
  const std::vector<HeldRenewal>& Held() const { return mHeld; }

  // Executes an order that has arrived, also one for another incarnation.
  void Execute(uint64_t aExchange, const Order& aOrder, Millis aNow);
  // Ends what is due, and answers the renewals that have waited.
  void Advance(Millis aNow);
  // All members of the run's gang are present.
  void CompleteGang(const RunRef& aRun, Millis aDuration, Millis aNow);
  void EndRun(const RunRef& aRun, EndKind aKind, Millis aNow);
  WorkerReport Report(bool aDraining, Millis aNow);

private:
  Millis Clock(Millis aNow) const
  {
    return (aNow - mOptions.bornAt) * mOptions.clockPercent / 100;
  }
  OrderResult Answer(Millis aNow,
                     OrderRefusal aRefusal = OrderRefusal::kNone) const;
  OrderResult Start(const Order& aOrder, Millis aNow);
  void Stop(const RunRef& aRun, Millis aNow);
  void Renew(uint64_t aExchange, const Order& aOrder, Millis aNow);
  // Answers the renewals that are due by `aDueBy`.
  void AnswerRenewals(Millis aDueBy, Millis aNow);
  void ExtendLease(Millis aUntil, Millis aNow);
  void Lapse(Millis aNow);
  void Supersede(const RunRef& aRun);

  const Options mOptions;
  Random& mRandom;
  Observer& mObserver;
  FencingToken mToken{};
  std::optional<Millis> mLeaseUntil{};
  uint64_t mSequence = 0;
  uint64_t mLastEnd = 0;
  std::map<RunRef, ModelRun> mRuns{};
  // The highest attempt of each task that was stopped or ended here.
  std::map<TaskRef, Attempt> mSuperseded{};
  std::vector<ModelEnd> mEnds{};
  std::vector<HeldRenewal> mHeld{};
};

} // namespace limpetwood::fleet::testing
