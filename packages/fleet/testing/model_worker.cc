#include "fleet/testing/model_worker.h"

#include <algorithm>

namespace limpetwood::fleet::testing {

namespace {

constexpr Resources kCapacity{ .cpu = 8000,
                               .memoryMb = 8000,
                               .accelerators = 8 };
constexpr Millis kGangTimeout = Seconds(3);

} // namespace

void
ModelWorker::Execute(uint64_t aExchange, const Order& aOrder, Millis aNow)
{
  Lapse(aNow);
  OrderResult result = Answer(aNow);
  if (aOrder.token < mToken) {
    result = Answer(aNow, OrderRefusal::kFenced);
  } else {
    mToken = aOrder.token;
    if (aOrder.kind == Order::Kind::kRenew) {
      Renew(aExchange, aOrder, aNow);
      return;
    }
    if (aOrder.kind == Order::Kind::kStart) {
      result = Start(aOrder, aNow);
    } else {
      Stop(aOrder.run, aNow);
    }
  }
  mObserver.OnAnswer(aExchange, aOrder, result);
}

OrderResult
ModelWorker::Answer(Millis aNow, OrderRefusal aRefusal) const
{
  return { .outcome = aRefusal == OrderRefusal::kNone
                        ? OrderResult::Outcome::kAnswered
                        : OrderResult::Outcome::kRefused,
           .refusal = aRefusal,
           .clock = Clock(aNow) };
}

OrderResult
ModelWorker::Start(const Order& aOrder, Millis aNow)
{
  const RunRef& run = aOrder.run;
  if (Clock(aNow) > aOrder.leaseUntil) {
    return Answer(aNow, OrderRefusal::kExpiredOnArrival);
  }
  ExtendLease(aOrder.leaseUntil, aNow);
  if (mRuns.contains(run)) {
    return Answer(aNow);
  }
  auto superseded = mSuperseded.find(run.task);
  if (superseded != mSuperseded.end() && run.attempt <= superseded->second) {
    return Answer(aNow, OrderRefusal::kSuperseded);
  }
  const StepSpec& spec = mObserver.SpecOf(run.task);
  Resources used = spec.resources;
  for (const auto& [other, view] : mRuns) {
    used += mObserver.SpecOf(other.task).resources;
  }
  bool fits = used.FitsIn(kCapacity);
  if (!fits && mOptions.guardsCapacity) {
    return Answer(aNow, OrderRefusal::kInsufficientCapacity);
  }
  mObserver.OnStart(*this, run, fits);
  ModelRun& added = mRuns[run];
  added.startedAt = aNow;
  if (spec.longRunning) {
    added.duration = Hours(1);
  } else if (!spec.gang) {
    int64_t longest = mRandom.Chance(0.3) ? 5000 : 800;
    added.duration = Millis(mRandom.Between(50, longest));
  }
  if (mRandom.Chance(0.1)) {
    added.end = EndKind::kFailed;
  }
  return Answer(aNow);
}

void
ModelWorker::Stop(const RunRef& aRun, Millis aNow)
{
  auto run = mRuns.find(aRun);
  if (run == mRuns.end()) {
    Supersede(aRun);
    return;
  }
  Millis at = aNow + mRandom.Between(Millis(0), mOptions.maxStopTime);
  run->second.stopsAt = std::min(run->second.stopsAt.value_or(at), at);
}

void
ModelWorker::Renew(uint64_t aExchange, const Order& aOrder, Millis aNow)
{
  if (aOrder.leaseUntil > Millis(0)) {
    ExtendLease(aOrder.leaseUntil, aNow);
  }
  std::erase_if(mEnds, [&](const ModelEnd& it) {
    bool acknowledged = it.end.number <= aOrder.acknowledgedEnds;
    if (acknowledged) {
      mObserver.OnAcknowledged(*this, it);
    }
    return acknowledged;
  });
  mHeld.push_back({ aExchange, aOrder, aNow + aOrder.wait });
  AnswerRenewals(mEnds.empty() ? aNow : Millis::Max(), aNow);
}

void
ModelWorker::AnswerRenewals(Millis aDueBy, Millis aNow)
{
  OrderResult result = Answer(aNow);
  for (const auto& [run, view] : mRuns) {
    int32_t percent = 0;
    if (mObserver.SpecOf(run.task).longRunning) {
      percent = 100;
    } else if (view.duration) {
      percent = static_cast<int32_t>((aNow - view.startedAt).Count() * 100 /
                                     (view.duration->Count() + 1));
    }
    result.running.push_back({ .run = run, .percent = percent });
  }
  size_t listed = std::min(mEnds.size(), mOptions.maxListedEnds);
  for (size_t n = 0; n < listed; ++n) {
    result.ended.push_back(mEnds[n].end);
  }
  result.endsTruncated = listed == mOptions.maxListedEnds;
  std::erase_if(mHeld, [&](const HeldRenewal& it) {
    if (it.dueAt <= aDueBy) {
      mObserver.OnAnswer(it.exchange, it.order, result);
    }
    return it.dueAt <= aDueBy;
  });
}

void
ModelWorker::Supersede(const RunRef& aRun)
{
  Attempt& highest = mSuperseded[aRun.task];
  highest = std::max(highest, aRun.attempt);
}

void
ModelWorker::EndRun(const RunRef& aRun, EndKind aKind, Millis aNow)
{
  EndedRun end{ .number = ++mLastEnd, .run = aRun, .kind = aKind };
  mRuns.erase(aRun);
  Supersede(aRun);
  mObserver.OnEnd(*this, end);
  mEnds.push_back({ std::move(end), aNow });
  AnswerRenewals(Millis::Max(), aNow);
}

void
ModelWorker::ExtendLease(Millis aUntil, Millis aNow)
{
  Millis until = std::min(aUntil, Clock(aNow) + mOptions.maxLease);
  mLeaseUntil = std::max(mLeaseUntil.value_or(until), until);
}

void
ModelWorker::Lapse(Millis aNow)
{
  if (!mLeaseUntil || Clock(aNow) <= *mLeaseUntil) {
    return;
  }
  mLeaseUntil.reset();
  for (const ModelEnd& it : mEnds) {
    mObserver.OnLapsed(it);
  }
  while (!mRuns.empty()) {
    EndRun(RunRef(mRuns.begin()->first), EndKind::kLeaseExpired, aNow);
  }
}

void
ModelWorker::CompleteGang(const RunRef& aRun, Millis aDuration, Millis aNow)
{
  ModelRun& run = mRuns.at(aRun);
  run.duration = aNow - run.startedAt + aDuration;
  run.end = EndKind::kDone;
}

void
ModelWorker::Advance(Millis aNow)
{
  Lapse(aNow);
  for (const auto& [run, view] : std::map(mRuns)) {
    if (view.stopsAt && *view.stopsAt <= aNow) {
      EndRun(run, EndKind::kStopped, aNow);
    } else if (view.duration && view.startedAt + *view.duration <= aNow) {
      EndRun(run, view.end, aNow);
    } else if (!view.duration && view.startedAt + kGangTimeout <= aNow) {
      EndRun(run, EndKind::kGangIncomplete, aNow);
    }
  }
  AnswerRenewals(aNow, aNow);
}

WorkerReport
ModelWorker::Report(bool aDraining, Millis aNow)
{
  WorkerReport report;
  report.id = mOptions.id;
  report.incarnation = mOptions.incarnation;
  report.address = mOptions.address;
  report.service = ServiceId("service");
  report.zone = ZoneId("z1");
  report.rack = RackId("r1");
  report.labels = { "a" };
  report.capacity = kCapacity;
  report.draining = aDraining;
  report.sequence = ++mSequence;
  report.clock = Clock(aNow);
  return report;
}

} // namespace limpetwood::fleet::testing
