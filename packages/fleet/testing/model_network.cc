#include "fleet/testing/model_network.h"

#include <iterator>
#include <utility>

namespace limpetwood::fleet::testing {

using Outcome = OrderResult::Outcome;

namespace {

constexpr size_t kWorkers = 4;
constexpr int64_t kMaxLatency = 300;
constexpr Millis kOrderTimeout = Seconds(1);
constexpr Millis kMaxLateness = Seconds(6);
constexpr Millis kReportInterval(1500);
constexpr Millis kMaxLease = Seconds(10);
constexpr Millis kMaxStopTime(900);

} // namespace

ModelNetwork::ModelNetwork(uint64_t aSeed, uint32_t aFaults)
  : mRandom(aSeed)
  , mFaults(aFaults)
  , mIntensity(mRandom.Chance(0.5) ? 1 : 3)
{
  for (size_t n = 0; n < kWorkers; ++n) {
    After(Millis(0), [this, id = NewId(), address = NewAddress()] {
      AddWorker(id, address, Incarnation(1));
    });
  }
}

Millis
ModelNetwork::Latency()
{
  return Between(0, mRandom.Chance(0.1) ? kMaxLatency : 15);
}

ModelNetwork::Host*
ModelNetwork::HostAt(const std::string& aAddress)
{
  auto it = mHosts.find(aAddress);
  return it == mHosts.end() ? nullptr : &it->second;
}

void
ModelNetwork::AdvanceTime()
{
  mNow += Between(0, 12);
  while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
    auto call = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    call();
  }
  AdvanceGangs();
  for (auto it = mHosts.begin(); it != mHosts.end();) {
    Host& host = (it++)->second;
    AdvanceHost(host);
  }
}

void
ModelNetwork::Recover(uint32_t aKept)
{
  mFaults &= aKept;
  for (auto& [address, host] : mHosts) {
    host.unhealthyUntil = host.ordersCutUntil = host.answersCutUntil = mNow;
  }
}

void
ModelNetwork::DisturbHosts()
{
  if (mHosts.empty()) {
    return;
  }
  auto n = static_cast<ptrdiff_t>(mRandom.Below(mHosts.size()));
  Host& host = std::next(mHosts.begin(), n)->second;
  if (Strikes(kLeaves, 0.001)) {
    Drain(host);
  }
  if (Strikes(kLeaves, 0.0001)) {
    for (auto& [address, each] : mHosts) {
      Drain(each);
    }
  }
  if (Strikes(kCrashes, 0.0005)) {
    host.endAt = mNow;
  }
  if (Strikes(kUnhealthyStarts, 0.001) || Strikes(kUnhealthy, 0.001)) {
    host.unhealthyUntil = mNow + Between(50, 3000);
    Trace(host.worker.Id(), "is unhealthy");
  }
  if (Strikes(kCuts, 0.0005)) {
    Millis until = mNow + Between(100, mRandom.Chance(0.5) ? 3000 : 26000);
    size_t kind = mRandom.Below(3);
    host.ordersCutUntil = kind == 0 ? host.ordersCutUntil : until;
    host.answersCutUntil = kind == 1 ? host.answersCutUntil : until;
    Trace(host.worker.Id(), "is cut off, kind " + std::to_string(kind));
  }
}

void
ModelNetwork::Drain(Host& aHost)
{
  if (!aHost.draining) {
    aHost.draining = true;
    aHost.reportAt = mNow;
    aHost.leaveAt = mNow + Between(0, 4000);
    Trace(aHost.worker.Id(), "drains");
  }
}

void
ModelNetwork::Send(Order aOrder)
{
  uint64_t exchange = ++mLastExchange;
  mOpenExchanges.insert(exchange);
  After(kOrderTimeout + aOrder.wait, [this, exchange, aOrder] {
    Finish(exchange, aOrder, { .outcome = Outcome::kNoAnswer });
  });
  Host* host = HostAt(aOrder.address);
  bool cut = host != nullptr && host->ordersCutUntil > mNow;
  if (cut || Strikes(kLostOrders, 0.02)) {
    if (mRandom.Chance(0.2)) {
      After(Latency(), [this, exchange, order = std::move(aOrder)] {
        Finish(exchange, order, { .outcome = Outcome::kNotSent });
      });
    }
    return;
  }
  bool late = Strikes(kLateOrders, 0.04);
  if (late) {
    Trace(aOrder.worker,
          aOrder.kind == Order::Kind::kRenew
            ? "renewal is late"
            : "order for " + RunName(aOrder.run) + " is late");
  }
  After(
    late ? Between(1000, kMaxLateness.Count()) : Latency(),
    [this, exchange, order = std::move(aOrder)] { Arrive(exchange, order); });
}

void
ModelNetwork::Arrive(uint64_t aExchange, const Order& aOrder)
{
  Host* host = HostAt(aOrder.address);
  if (host == nullptr) {
    OnAnswer(aExchange, aOrder, { .outcome = Outcome::kConnectionRefused });
    return;
  }
  bool refuses = host->unhealthyUntil > mNow &&
                 (Has(kUnhealthy) || aOrder.kind == Order::Kind::kStart);
  if (refuses) {
    OnAnswer(
      aExchange,
      aOrder,
      { .outcome = Outcome::kRefused, .refusal = OrderRefusal::kUnhealthy });
  } else if (host->worker.Id() != aOrder.worker) {
    OnAnswer(aExchange, aOrder, { .outcome = Outcome::kOtherIncarnation });
  } else if (host->worker.CurrentIncarnation() == aOrder.incarnation) {
    host->worker.Execute(aExchange, aOrder, mNow);
  } else if (aOrder.kind != Order::Kind::kStart || Has(kStartsOutliveProcess)) {
    Order order = aOrder;
    if (!Has(kAcknowledgementsOutliveProcess)) {
      order.acknowledgedEnds = 0;
    }
    if (!Has(kLeasesOutliveProcess) && order.kind == Order::Kind::kRenew) {
      order.leaseUntil = Millis(0);
    }
    host->worker.Execute(aExchange, order, mNow);
  }
}

void
ModelNetwork::OnAnswer(uint64_t aExchange,
                       const Order& aOrder,
                       const OrderResult& aResult)
{
  Host* host = HostAt(aOrder.address);
  bool cut = host != nullptr && host->answersCutUntil > mNow;
  if (cut || Strikes(kLostAnswers, 0.02)) {
    return;
  }
  // The answer of another process does not count.
  bool own = host == nullptr ||
             host->worker.CurrentIncarnation() == aOrder.incarnation ||
             host->worker.Id() != aOrder.worker;
  After(
    Latency(),
    [this,
     aExchange,
     aOrder,
     result = own ? aResult : OrderResult{ .outcome = Outcome::kNoAnswer }] {
      Finish(aExchange, aOrder, result);
    });
}

void
ModelNetwork::Finish(uint64_t aExchange,
                     const Order& aOrder,
                     const OrderResult& aResult)
{
  if (mOpenExchanges.erase(aExchange) > 0) {
    OnResult(aOrder, aResult);
  }
}

void
ModelNetwork::AdvanceGangs()
{
  std::map<RunRef, std::vector<std::pair<ModelWorker*, RunRef>>> gangs;
  for (auto& [address, host] : mHosts) {
    for (const auto& [run, view] : host.worker.Runs()) {
      if (SpecOf(run.task).gang) {
        gangs[{ UnitOf(run.task), run.attempt }].emplace_back(&host.worker,
                                                              run);
      }
    }
  }
  for (const auto& [gang, members] : gangs) {
    bool complete = members.size() == SpecOf(gang.task).tasks;
    Millis duration = Between(50, 3000);
    for (const auto& [worker, run] : members) {
      bool working = worker->Runs().at(run).duration.has_value();
      if (complete && !working) {
        worker->CompleteGang(run, duration, mNow);
      } else if (!complete && working) {
        worker->EndRun(run, EndKind::kGangMemberEnded, mNow);
      }
    }
  }
}

void
ModelNetwork::AdvanceHost(Host& aHost)
{
  aHost.worker.Advance(mNow);
  if (aHost.reportAt <= mNow) {
    aHost.reportAt = mNow + kReportInterval;
    WorkerReport report = aHost.worker.Report(aHost.draining, mNow);
    Deliver(aHost, [this, report] { OnReport(report); });
  }
  if (aHost.leaveAt <= mNow) {
    Leave(aHost);
  }
  if (aHost.endAt <= mNow) {
    EndProcess(aHost);
  }
}

void
ModelNetwork::Deliver(const Host& aHost, const std::function<void()>& aCall)
{
  if (aHost.answersCutUntil <= mNow) {
    After(Strikes(kLateReports, 0.1) ? Between(500, 8000) : Latency(), aCall);
  }
  if (aHost.answersCutUntil <= mNow && Strikes(kLateReports, 0.1)) {
    After(Between(0, 8000), aCall);
  }
}

// A leave is repeated until it is acknowledged. The process may also end
// without, or run on.
void
ModelNetwork::Leave(Host& aHost)
{
  Trace(aHost.worker.Id(), "leaves");
  aHost.leaveAt = mNow + Seconds(1);
  if (aHost.endAt == Millis::Max()) {
    aHost.endAt = mNow + (mRandom.Chance(0.2) ? Latency() : Seconds(5));
  }
  Deliver(aHost,
          [this,
           id = aHost.worker.Id(),
           incarnation = aHost.worker.CurrentIncarnation()] {
            OnLeave(id, incarnation);
          });
}

void
ModelNetwork::AcknowledgeLeave(const WorkerId& aId, Incarnation aIncarnation)
{
  for (auto& [address, host] : mHosts) {
    if (host.worker.Id() == aId &&
        host.worker.CurrentIncarnation() == aIncarnation &&
        host.ordersCutUntil <= mNow) {
      host.leaveAt = Millis::Max();
      Millis delay = mRandom.Chance(0.3) ? Between(0, 3000) : Latency();
      host.endAt = std::min(host.endAt, mNow + delay);
    }
  }
}

void
ModelNetwork::EndProcess(Host& aHost)
{
  ModelWorker& worker = aHost.worker;
  if (Has(kLastAnswers) && !worker.Runs().empty() &&
      worker.Runs().begin()->second.duration) {
    auto [run, view] = *worker.Runs().begin();
    worker.EndRun(run, view.end, mNow);
  }
  Trace(worker.Id(), "ends");
  for (const ModelWorker::HeldRenewal& it : worker.Held()) {
    After(Latency(), [this, it] {
      Finish(it.exchange, it.order, { .outcome = Outcome::kNoAnswer });
    });
  }
  WorkerId id = NewId();
  std::string address = NewAddress();
  Incarnation incarnation(1);
  if (Strikes(kRestarts, 0.5)) {
    id = worker.Id();
    address = worker.Address();
    incarnation = Incarnation(worker.CurrentIncarnation().Value() + 1);
  } else if (Strikes(kTakeovers, 0.5)) {
    address = worker.Address();
  }
  mHosts.erase(std::string(worker.Address()));
  bool fast = Has(kFastRestarts) || incarnation == Incarnation(1);
  After(
    Between(fast ? 0 : kMaxLatency, mRandom.Chance(0.5) ? 500 : 6000),
    [this, id, address, incarnation] { AddWorker(id, address, incarnation); });
}

void
ModelNetwork::AddWorker(const WorkerId& aId,
                        const std::string& aAddress,
                        Incarnation aIncarnation)
{
  Trace(aId, "begins");
  ModelWorker::Options options{
    .id = aId,
    .incarnation = aIncarnation,
    .address = aAddress,
    .bornAt = mNow,
    .clockPercent = mRandom.Between(98, 100),
    .guardsCapacity = mRandom.Chance(0.5),
    .maxListedEnds = Has(kShortLists) ? size_t(2) : size_t(500),
    .maxLease = kMaxLease,
    .maxStopTime = kMaxStopTime,
  };
  mHosts.emplace(aAddress,
                 Host{ .worker = { std::move(options), mRandom, *this } });
}

} // namespace limpetwood::fleet::testing
