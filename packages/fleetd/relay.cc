#include "fleetd/relay.h"

#include "base/random.h"
#include "base/retry_budget.h"
#include "fleetd/leader_finder.h"

#include <algorithm>
#include <chrono>
#include <deque>

namespace limpetwood::fleetd {

namespace {

namespace asio = boost::asio;
using fleet::RequestKind;
using fleet::RequestOutcome;
namespace gen = fleet::gen;

// Interval at which waiting requests are checked while no leader is known.
constexpr Millis kLeaderCheckInterval(90);
// Interval at which waiting requests are sent while a leader is known, half of
// it at random, and the number sent at once.
constexpr Millis kResumeInterval(20);
constexpr size_t kMaxResumedAtOnce = 16;

gen::Reply
MakeReply(RequestOutcome aOutcome)
{
  gen::Reply reply;
  reply.outcome = static_cast<int32_t>(aOutcome);
  return reply;
}

std::chrono::milliseconds
ToChrono(Millis aTime)
{
  return std::chrono::milliseconds(aTime.Count());
}

} // namespace

// A request that has not ended, with the state of its attempts.
struct PendingCall
{
  std::string bytes;
  Millis startTime;
  Millis deadline;
  RelayCallback done;
  // Path of the request for the log; failed attempts of requests without a path
  // are not logged.
  std::string path;
  // Number of attempts so far. A reply to an earlier attempt ends the request
  // only if it reports success.
  uint32_t attempts = 0;
  // The instance that the latest attempt was sent to.
  std::string target;
  // Waits for an attempt. A result of an earlier attempt ends the request only
  // if it is a success.
  bool waiting = false;
  bool finished = false;
  // An attempt that may have changed state got no answer.
  bool mayHaveRun = false;
  // The request changes no state, so an unanswered attempt counts as not run.
  bool readOnly = false;
  // The latest attempt was answered by an instance that did not lead.
  bool refusedByNonLeader = false;
  // The request was resent to the same leader without a token.
  bool usedFreeRetry = false;
  // A report of a worker, which waits until `waitUntil` for an attempt.
  bool isReport = false;
  Millis waitUntil;
};

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
  Impl(asio::io_context& aContext, RelayOptions aOptions, LogFunction aLog)
    : options(std::move(aOptions))
    , log(std::move(aLog))
    , client(aContext,
             InstancePoolLimits(static_cast<uint32_t>(options.maxInFlight)))
    , budget(options.retryShare, options.maxSavedRetries)
    , random(static_cast<uint64_t>(WallNow().Count()))
    , waitTimer(aContext)
  {
  }

  // Sends the request if a leader, a connection and, for a retry at the same
  // leader, a token of the budget are available; otherwise lets it wait.
  void StartAttempt(const std::shared_ptr<PendingCall>& aCall);
  bool MayStartAttempt(PendingCall& aCall);
  void SendAttempt(const std::shared_ptr<PendingCall>& aCall);
  void Wait(const std::shared_ptr<PendingCall>& aCall);
  void OnAttemptResult(const std::shared_ptr<PendingCall>& aCall,
                       uint32_t aAttempt,
                       const std::string& aTarget,
                       const http::FetchResult& aResult);
  // Lets the requests that are in flight to an earlier leader wait for an
  // attempt at the current one.
  void ResendToLeader();
  // The time until which the request waits for an attempt.
  Millis EndOfWait(const PendingCall& aCall) const;
  bool MayWait(const PendingCall& aCall) const;
  void RemoveInFlight(const std::shared_ptr<PendingCall>& aCall);
  void Finish(const std::shared_ptr<PendingCall>& aCall, gen::Reply aReply);
  // Sends waiting requests, a few at a time, and ends those that may not wait
  // any longer. Requests of callers and operators precede reports of workers.
  void ResumeWaiting();
  void OnLeaderFound();
  const std::string& Leader() const { return finder->Leader(); }
  size_t MaxReportsInFlight() const;
  // Calls `ResumeWaiting` after `aDelay`, or earlier if already scheduled.
  void ScheduleResume(Millis aDelay);

  RelayOptions options;
  LogFunction log;
  std::shared_ptr<LeaderFinder> finder;
  http::PooledClient client;
  RetryBudget budget;
  Random random;
  asio::steady_timer waitTimer;
  bool stopped = false;
  // Calls are answered at once, without an attempt.
  bool ended = false;
  // Requests that wait for a leader, a connection or a token.
  std::deque<std::shared_ptr<PendingCall>> waiting;
  std::deque<std::shared_ptr<PendingCall>> waitingReports;
  // When `waitTimer` fires; `Max` while it is not armed.
  Millis resumeDueAt = Millis::Max();
  // Requests with an attempt in flight.
  std::set<std::shared_ptr<PendingCall>> inFlight;
  size_t reportsInFlight = 0;
  gen::Limits limits;
  std::function<void(const gen::Limits&)> onLimitsChanged;
  RelayCounters counters;
};

size_t
Relay::Impl::MaxReportsInFlight() const
{
  return std::max(options.maxInFlight * 3 / 4, size_t{ 1 });
}

bool
Relay::Impl::MayStartAttempt(PendingCall& aCall)
{
  if (Leader().empty()) {
    return false;
  }
  if (inFlight.size() >= options.maxInFlight ||
      (aCall.isReport && reportsInFlight >= MaxReportsInFlight())) {
    ++counters.waitedForSlot;
    return false;
  }
  bool sameLeader = aCall.attempts > 0 && aCall.target == Leader();
  // An instance whose leader lease lapses for a moment refuses at once all that
  // it has in flight, which costs it little and is more than the budget allows
  // to resend when it leads again.
  if (sameLeader && aCall.refusedByNonLeader && !aCall.usedFreeRetry) {
    aCall.usedFreeRetry = true;
    return true;
  }
  if (sameLeader && !budget.TryTake()) {
    ++counters.waitedForBudget;
    return false;
  }
  return true;
}

void
Relay::Impl::StartAttempt(const std::shared_ptr<PendingCall>& aCall)
{
  if (ended) {
    Finish(aCall, MakeReply(RequestOutcome::kUnavailable));
  } else if (MayStartAttempt(*aCall)) {
    SendAttempt(aCall);
  } else {
    Wait(aCall);
  }
}

void
Relay::Impl::SendAttempt(const std::shared_ptr<PendingCall>& aCall)
{
  aCall->waiting = false;
  Millis remaining = aCall->deadline - MonotonicNow();
  if (remaining <= Millis(0)) {
    Finish(aCall, MakeReply(RequestOutcome::kUnavailable));
    return;
  }
  aCall->target = Leader();
  aCall->refusedByNonLeader = false;
  uint32_t attempt = ++aCall->attempts;
  inFlight.insert(aCall);
  reportsInFlight += aCall->isReport ? 1 : 0;
  PostToInstance(
    client,
    { aCall->target, options.port },
    aCall->bytes,
    std::min(remaining, options.attemptTimeout),
    [self = shared_from_this(), aCall, attempt, target = aCall->target](
      const http::FetchResult& aResult) {
      self->OnAttemptResult(aCall, attempt, target, aResult);
    });
}

void
Relay::Impl::ResendToLeader()
{
  std::vector<std::shared_ptr<PendingCall>> toResend;
  for (const auto& it : inFlight) {
    if (it->target != Leader()) {
      toResend.push_back(it);
    }
  }
  for (const auto& it : toResend) {
    ++counters.retriesLeaderChanged;
    it->mayHaveRun = !it->readOnly;
    RemoveInFlight(it);
    Wait(it);
  }
}

void
Relay::Impl::OnLeaderFound()
{
  ++counters.leaderChanges;
  ResendToLeader();
  if (!waiting.empty() || !waitingReports.empty()) {
    ResumeWaiting();
  }
}

void
Relay::Impl::RemoveInFlight(const std::shared_ptr<PendingCall>& aCall)
{
  if (inFlight.erase(aCall) > 0 && aCall->isReport) {
    --reportsInFlight;
  }
}

Millis
Relay::Impl::EndOfWait(const PendingCall& aCall) const
{
  if (aCall.isReport) {
    return aCall.waitUntil;
  }
  // Only a later attempt can determine the outcome of a request that may have
  // run.
  if (aCall.mayHaveRun) {
    return aCall.deadline;
  }
  return std::min(
    { aCall.deadline,
      aCall.startTime + options.leaderWaitTimeout,
      finder->LastLeaderContact() + options.outageThreshold + Millis(1) });
}

bool
Relay::Impl::MayWait(const PendingCall& aCall) const
{
  return !stopped && MonotonicNow() < EndOfWait(aCall) &&
         !(aCall.isReport && finder->IsCutOff());
}

void
Relay::Impl::Wait(const std::shared_ptr<PendingCall>& aCall)
{
  if (!MayWait(*aCall)) {
    ++counters.refusedNoLeader;
    Finish(aCall, MakeReply(RequestOutcome::kUnavailable));
    return;
  }
  aCall->waiting = true;
  (aCall->isReport ? waitingReports : waiting).push_back(aCall);
  Millis delay = Leader().empty()
                   ? kLeaderCheckInterval
                   : random.Between(kResumeInterval / 2, kResumeInterval);
  ScheduleResume(std::min(delay, EndOfWait(*aCall) - MonotonicNow()));
}

void
Relay::Impl::ScheduleResume(Millis aDelay)
{
  Millis dueAt = MonotonicNow() + aDelay;
  if (dueAt >= resumeDueAt) {
    return;
  }
  resumeDueAt = dueAt;
  waitTimer.expires_after(ToChrono(aDelay));
  waitTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->resumeDueAt = Millis::Max();
      self->ResumeWaiting();
    }
  });
}

void
Relay::Impl::ResumeWaiting()
{
  auto calls = std::exchange(waiting, {});
  auto reports = std::exchange(waitingReports, {});
  calls.insert(calls.end(), reports.begin(), reports.end());
  size_t resumed = 0;
  for (const auto& it : calls) {
    if (it->finished) {
      continue;
    }
    if (resumed < kMaxResumedAtOnce && MayStartAttempt(*it)) {
      ++resumed;
      SendAttempt(it);
    } else {
      Wait(it);
    }
  }
}

void
Relay::Impl::OnAttemptResult(const std::shared_ptr<PendingCall>& aCall,
                             uint32_t aAttempt,
                             const std::string& aTarget,
                             const http::FetchResult& aResult)
{
  if (aCall->finished) {
    return;
  }
  bool isLatest = aAttempt == aCall->attempts && !aCall->waiting;
  if (isLatest) {
    RemoveInFlight(aCall);
  }
  bool notLeading = false;
  if (aResult.verdict == Verdict::kAnswered) {
    auto reply = fleet::Decode<gen::Reply>(aResult.response.body);
    bool fromLeader =
      reply && static_cast<RequestOutcome>(reply.Value().outcome) !=
                 RequestOutcome::kNotLeader;
    // A success reported by an earlier leader is final. After a refusal by an
    // earlier leader, a later attempt may still have succeeded.
    bool isFinal =
      isLatest || (reply && static_cast<RequestOutcome>(
                              reply.Value().outcome) == RequestOutcome::kOk);
    if (fromLeader && aTarget == Leader()) {
      finder->OnLeaderContact();
    }
    if (fromLeader && isFinal) {
      Finish(aCall, std::move(reply).Value());
      return;
    }
    ++counters.retriesNotLeader;
    if (reply) {
      notLeading = !fromLeader;
      finder->OnReply(aTarget, reply.Value());
    } else {
      // The answer may have reported a success.
      aCall->mayHaveRun = !aCall->readOnly;
    }
  } else if (aResult.verdict == Verdict::kMayHaveRun) {
    ++counters.retriesNoAnswer;
    aCall->mayHaveRun = !aCall->readOnly;
  } else {
    ++counters.retriesNotSent;
  }
  if (!isLatest) {
    return;
  }
  aCall->refusedByNonLeader = notLeading;
  if (!aCall->path.empty()) {
    log(LogEvent("attempt_failed")
          .Add("path", aCall->path)
          .Add("leader", aTarget)
          .Add("attempt", aCall->attempts)
          .Add("verdict", VerdictName(aResult.verdict))
          .Add("took_ms", MonotonicNow() - aCall->startTime));
  }
  if (aTarget == Leader()) {
    finder->OnFailedAttempt({ .verdict = aResult.verdict,
                              .error = aResult.error,
                              .answeredNotLeading = notLeading });
  }
  StartAttempt(aCall);
}

void
Relay::Impl::Finish(const std::shared_ptr<PendingCall>& aCall,
                    gen::Reply aReply)
{
  aCall->finished = true;
  RemoveInFlight(aCall);
  auto outcome = static_cast<RequestOutcome>(aReply.outcome);
  if (aCall->mayHaveRun && fleet::IsKnownNotExecuted(outcome)) {
    aReply = MakeReply(RequestOutcome::kMayHaveRun);
  }
  aCall->done(
    { .reply = std::move(aReply),
      .attempts = aCall->attempts,
      .leader = Leader(),
      .timeSinceLeaderContact = MonotonicNow() - finder->LastLeaderContact() });
  if (!Leader().empty() && !(waiting.empty() && waitingReports.empty())) {
    ScheduleResume(Millis(0));
  }
}

Relay::Relay(asio::io_context& aContext,
             RelayOptions aOptions,
             LogFunction aLog)
  : mImpl(std::make_shared<Impl>(aContext, aOptions, aLog))
{
  std::weak_ptr<Impl> weak = mImpl;
  mImpl->finder = std::make_shared<LeaderFinder>(
    aContext,
    std::move(aOptions),
    std::move(aLog),
    LeaderFinder::Callbacks{ .onLeaderFound =
                               [weak] {
                                 if (auto impl = weak.lock()) {
                                   impl->OnLeaderFound();
                                 }
                               },
                             .onLimitsChanged =
                               [weak](const gen::Limits& aLimits) {
                                 auto impl = weak.lock();
                                 if (!impl) {
                                   return;
                                 }
                                 impl->limits = aLimits;
                                 if (impl->onLimitsChanged) {
                                   impl->onLimitsChanged(aLimits);
                                 }
                               } });
}

Relay::~Relay()
{
  Stop();
}

void
Relay::Start(const std::vector<std::string>& aSeeds)
{
  mImpl->finder->Start(aSeeds);
}

void
Relay::SetSeeds(const std::vector<std::string>& aSeeds)
{
  mImpl->finder->SetSeeds(aSeeds);
}

void
Relay::Stop()
{
  mImpl->stopped = true;
  mImpl->finder->Stop();
}

void
Relay::OnLeaderNamed(const std::string& aInstance)
{
  mImpl->finder->OnLeaderNamed(aInstance);
}

void
Relay::EndCalls()
{
  mImpl->ended = true;
  std::vector<std::shared_ptr<PendingCall>> calls(mImpl->inFlight.begin(),
                                                  mImpl->inFlight.end());
  for (const auto& it : calls) {
    it->mayHaveRun = !it->readOnly;
  }
  for (auto* queue : { &mImpl->waiting, &mImpl->waitingReports }) {
    auto waiting = std::exchange(*queue, {});
    calls.insert(calls.end(), waiting.begin(), waiting.end());
  }
  for (const auto& it : calls) {
    if (!it->finished) {
      mImpl->Finish(it, MakeReply(RequestOutcome::kUnavailable));
    }
  }
}

void
Relay::Call(const gen::Request& aRequest, Millis aDeadline, RelayCallback aDone)
{
  ++mImpl->counters.calls;
  mImpl->budget.OnRequest();
  auto call = std::make_shared<PendingCall>();
  call->bytes = fleet::Encode(aRequest);
  call->path = aRequest.path;
  auto kind = static_cast<RequestKind>(aRequest.kind);
  call->readOnly =
    kind == RequestKind::kRead || kind == RequestKind::kGetConfiguration;
  call->isReport = kind == RequestKind::kReport || kind == RequestKind::kLeave;
  call->startTime = MonotonicNow();
  call->deadline = aDeadline;
  call->waitUntil =
    aDeadline - mImpl->random.Between(Millis(0), mImpl->options.reportSpread);
  call->done = std::move(aDone);
  mImpl->StartAttempt(call);
}

void
Relay::SetLimitsCallback(std::function<void(const gen::Limits&)> aChanged)
{
  mImpl->onLimitsChanged = std::move(aChanged);
}

bool
Relay::HasLeader() const
{
  return !mImpl->Leader().empty();
}

const gen::Limits&
Relay::Limits() const
{
  return mImpl->limits;
}

const RelayCounters&
Relay::Counters() const
{
  return mImpl->counters;
}

} // namespace limpetwood::fleetd
