#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace limpetwood::fleet::testing {

namespace {

const ServiceId kService("service");
// Longer than `kMinPlanInterval` of the dispatcher, 15 ms.
constexpr Millis kAfterPlanPause(20);

} // namespace

FleetFixture::FleetFixture(DispatcherOptions aOptions)
  : mOptions(aOptions)
  , mDispatcher(std::make_unique<Dispatcher>(mOptions, mState, mToken, mNow))
{
}

void
FleetFixture::RunUntilIdle()
{
  for (int n = 0; n < 10; ++n) {
    uint64_t passes = mDispatcher->Counters().planningPasses;
    mDispatcher->Tick(mNow, mNow);
    bool planned = mDispatcher->Counters().planningPasses > passes;
    mDispatcher->OnTickDuration(planned ? mPassTime : Millis(0));
    for (Order& it : mDispatcher->TakeOrders()) {
      if (mCrashed.contains(it.worker)) {
        mDispatcher->OnResult(
          it, { .outcome = OrderResult::Outcome::kNotSent }, mNow);
      } else {
        mOrders.push_back(std::move(it));
      }
    }
    if (mCommitsHeld || !mDispatcher->HasCommand()) {
      return;
    }
    gen::Command command = mDispatcher->TakeCommand();
    command.atMs = mNow.Count();
    mState.Apply(command);
    mDispatcher->OnCommitted(command, mNow);
  }
}

void
FleetFixture::Advance(Millis aTime)
{
  mNow += aTime;
  RunUntilIdle();
}

void
FleetFixture::Report(const std::string& aId,
                     Incarnation aIncarnation,
                     const std::string& aRack,
                     bool aDraining,
                     std::optional<Millis> aDepartsIn)
{
  WorkerReport report;
  report.draining = aDraining;
  report.departsIn = aDepartsIn;
  report.id = WorkerId(aId);
  report.incarnation = aIncarnation;
  report.address = "127.0.0.1:1";
  report.service = kService;
  report.rack = RackId(aRack);
  report.labels = { "a", aRack };
  report.capacity = { .cpu = 64'000, .memoryMb = 256'000, .accelerators = 8 };
  if (auto it = mCapacities.find(aId); it != mCapacities.end()) {
    report.capacity = it->second;
  }
  auto zone = mZones.find(aId);
  report.zone = zone == mZones.end() ? ZoneId("z1") : zone->second;
  if (auto it = mColdRemaining.find(aId); it != mColdRemaining.end()) {
    report.coldRemaining = it->second;
  }
  report.sequence = ++mSequence;
  report.clock = WorkerClock();
  mDispatcher->OnReport(report, mNow);
  RunUntilIdle();
}

void
FleetFixture::Heartbeat(const std::string& aId)
{
  const Worker* worker = mState.FindWorker(WorkerId(aId));
  ASSERT_NE(worker, nullptr);
  Report(aId, Incarnation(1), worker->report.rack.Value());
}

void
FleetFixture::Drain(const std::string& aId, std::optional<Millis> aDepartsIn)
{
  const Worker* worker = mState.FindWorker(WorkerId(aId));
  ASSERT_NE(worker, nullptr);
  Report(aId, Incarnation(1), worker->report.rack.Value(), true, aDepartsIn);
}

void
FleetFixture::Crash(const std::string& aId)
{
  WorkerId id(aId);
  mCrashed.insert(id);
  for (const Order& it : std::exchange(mOrders, {})) {
    if (it.worker == id) {
      mDispatcher->OnResult(
        it, { .outcome = OrderResult::Outcome::kNoAnswer }, mNow);
    } else {
      mOrders.push_back(it);
    }
  }
  RunUntilIdle();
}

void
FleetFixture::ChangeLeader(Millis aSilence)
{
  mOrders.clear();
  mToken = FencingToken(mToken.Value() + 1);
  mDispatcher =
    std::make_unique<Dispatcher>(mOptions, mState, mToken, mNow, aSilence);
  RunUntilIdle();
}

void
FleetFixture::Restart(const std::string& aId, Incarnation aIncarnation)
{
  mCrashed.erase(WorkerId(aId));
  Report(aId, aIncarnation, "r1");
}

bool
FleetFixture::Leave(const std::string& aId, Incarnation aIncarnation)
{
  bool waits = mDispatcher->OnLeave(WorkerId(aId), aIncarnation, mNow);
  RunUntilIdle();
  return waits;
}

void
FleetFixture::AddWorker(const std::string& aId,
                        Fencing aFencing,
                        const std::string& aRack)
{
  Report(aId, Incarnation(1), aRack);
  if (aFencing == Fencing::kAnswered) {
    AnswerRenewal(aId, EmptyRenewalResult());
  }
}

StepSpec
FleetFixture::GangOf(uint32_t aTasks)
{
  StepSpec step;
  step.tasks = aTasks;
  step.resources = { .cpu = 8000, .memoryMb = 1000, .accelerators = 8 };
  step.estimate = Millis(5000);
  step.gang = true;
  return step;
}

void
FleetFixture::Submit(const std::string& aId,
                     const StepSpec& aStep,
                     int32_t aPriority)
{
  JobSpec spec;
  spec.payload = "payload";
  spec.steps = { aStep };
  gen::SubmitJob job;
  job.id = aId;
  job.queue = "queue";
  job.serviceId = kService.Value();
  job.spec = ToWire(spec);
  job.acceptedAtMs = mNow.Count();
  job.priority = aPriority;
  job.maxAttempts = 3;
  job.stretch = 2;
  gen::Command command;
  command.jobs.push_back(std::move(job));
  mState.Apply(command);
  mDispatcher->OnChanged();
  Advance(kAfterPlanPause);
}

void
FleetFixture::CommitZoneOrder(const std::string& aZone, bool aEvacuate)
{
  gen::ZoneOrder order;
  order.zone = aZone;
  order.evacuate = aEvacuate;
  gen::Command command;
  command.atMs = mNow.Count();
  command.zoneOrders.push_back(order);
  mState.Apply(command);
  mDispatcher->OnChanged();
  RunUntilIdle();
}

void
FleetFixture::Evacuate(const std::string& aZone)
{
  CommitZoneOrder(aZone, true);
}

void
FleetFixture::Restore(const std::string& aZone)
{
  CommitZoneOrder(aZone, false);
}

void
FleetFixture::Cancel(const std::string& aId)
{
  gen::Command command;
  command.cancelled.push_back(aId);
  mState.Apply(command);
  mDispatcher->OnJobEnded(JobId(aId), mNow);
  RunUntilIdle();
}

std::vector<Order>
FleetFixture::TakeOrders(Order::Kind aKind)
{
  std::vector<Order> out;
  auto other = std::stable_partition(
    mOrders.begin(), mOrders.end(), [&](const Order& aOrder) {
      return aOrder.kind != aKind;
    });
  std::move(other, mOrders.end(), std::back_inserter(out));
  mOrders.erase(other, mOrders.end());
  return out;
}

Order
FleetFixture::ExpectOrder(Order::Kind aKind)
{
  std::vector<Order> orders = TakeOrders(aKind);
  EXPECT_EQ(orders.size(), 1U);
  return orders.empty() ? Order() : orders.front();
}

void
FleetFixture::Answer(const Order& aOrder, OrderResult::Outcome aOutcome)
{
  OrderResult result;
  result.outcome = aOutcome;
  if (aOutcome == OrderResult::Outcome::kAnswered) {
    result.clock = WorkerClock();
  }
  mDispatcher->OnResult(aOrder, result, mNow);
  RunUntilIdle();
}

void
FleetFixture::Refuse(const Order& aOrder, OrderRefusal aRefusal)
{
  OrderResult result;
  result.outcome = OrderResult::Outcome::kRefused;
  result.refusal = aRefusal;
  mDispatcher->OnResult(aOrder, result, mNow);
  RunUntilIdle();
}

void
FleetFixture::DeliverTogether(const std::vector<Order>& aOrders,
                              const OrderResult& aResult)
{
  for (const Order& it : aOrders) {
    mDispatcher->OnResult(it, aResult, mNow);
  }
  RunUntilIdle();
}

void
FleetFixture::Deliver(const Order& aOrder, const OrderResult& aResult)
{
  mDispatcher->OnResult(aOrder, aResult, mNow);
  RunUntilIdle();
}

OrderResult
FleetFixture::EmptyRenewalResult() const
{
  OrderResult result;
  result.outcome = OrderResult::Outcome::kAnswered;
  result.clock = WorkerClock();
  return result;
}

void
FleetFixture::AnswerRenewal(const std::string& aWorker, OrderResult aResult)
{
  auto it =
    std::find_if(mOrders.begin(), mOrders.end(), [&](const Order& aOrder) {
      return aOrder.kind == Order::Kind::kRenew &&
             aOrder.worker.Value() == aWorker;
    });
  if (it == mOrders.end()) {
    return;
  }
  Order order = *it;
  mOrders.erase(it);
  Deliver(order, aResult);
}

void
FleetFixture::AnswerDueRenewals()
{
  std::vector<std::string> due;
  for (const Order& it : mOrders) {
    if (it.kind == Order::Kind::kRenew && it.sentAt + it.wait <= mNow) {
      due.push_back(it.worker.Value());
    }
  }
  for (const std::string& it : due) {
    AnswerRenewal(it, EmptyRenewalResult());
  }
}

bool
FleetFixture::IsActive(const Order& aStart) const
{
  return mState.IsActive(aStart.run, aStart.worker);
}

} // namespace limpetwood::fleet::testing
