#include "fleetd/relay.h"

#include "base/random.h"
#include "base/retry_budget.h"
#include "fleetd/leader_evidence.h"

#include <algorithm>
#include <chrono>
#include <deque>

namespace limpetwood::fleetd {

namespace {

namespace asio = boost::asio;
using fleet::RequestKind;
using fleet::RequestOutcome;
namespace gen = fleet::gen;

// Large enough for a reply that contains a configuration (16 MiB).
constexpr uint64_t kMaxReplyBytes = 16U << 20U;
// Interval at which waiting requests are checked while no leader is known.
constexpr Millis kLeaderCheckInterval(90);
// Interval at which waiting requests are sent while a leader is known, half of
// it at random, and the number sent at once.
constexpr Millis kResumeInterval(20);
constexpr size_t kMaxResumedAtOnce = 16;
// Connections for pings, apart from those of requests, so that requests in
// flight cannot delay the pings.
constexpr uint32_t kMaxPingConnections = 2;
constexpr Millis kConnectTimeout(400);
// Number of instances learned from replies above which the set is cleared
// before the next reply's members are added, so that it does not grow without
// bound.
constexpr size_t kMemberCountBeforeReset = 32;

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
  // In `waiting`. A result of an earlier attempt ends the request only if it is
  // a success.
  bool waiting = false;
  bool finished = false;
  // An attempt that may have changed state got no answer.
  bool mayHaveRun = false;
  // The request changes no state, so an unanswered attempt counts as not run.
  bool readOnly = false;
};

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
  Impl(asio::io_context& aContext, RelayOptions aOptions, LogFunction aLog)
    : options(aOptions)
    , client(aContext,
             ClientPoolLimits(static_cast<uint32_t>(aOptions.maxInFlight)))
    , pingClient(aContext, ClientPoolLimits(kMaxPingConnections))
    , budget(aOptions.retryShare, aOptions.maxSavedRetries)
    , random(static_cast<uint64_t>(WallNow().Count()))
    , pingTimer(aContext)
    , waitTimer(aContext)
    , log(std::move(aLog))
  {
  }

  static http::PoolLimits ClientPoolLimits(uint32_t aMaxConnections)
  {
    http::PoolLimits limits;
    limits.maxConnections = aMaxConnections;
    limits.connectTimeout = kConnectTimeout;
    return limits;
  }

  void Ping();
  void OnPing(const std::string& aTarget, const http::FetchResult& aResult);
  std::string NextTarget();
  void SetLeader(const std::string& aLeader);
  void ClearLeader(std::string_view aReason);
  // Gives up the leader if the failed attempt at it shows that it is lost.
  void CheckLeader(const FailedLeaderAttempt& aAttempt);
  void ApplyMembersAndLimits(const gen::Reply& aReply);
  // Posts an encoded request to the request server of `aTarget`, an address
  // without a port.
  void Fetch(http::PooledClient& aClient,
             const std::string& aTarget,
             std::string aBytes,
             Millis aTimeout,
             http::FetchCallback aDone);

  // Sends the request if a leader, a connection and, for a retry at the same
  // leader, a token of the budget are available; otherwise lets it wait.
  void StartAttempt(const std::shared_ptr<PendingCall>& aCall);
  bool MayStartAttempt(const PendingCall& aCall);
  void SendAttempt(const std::shared_ptr<PendingCall>& aCall);
  void Wait(const std::shared_ptr<PendingCall>& aCall);
  void OnAttemptResult(const std::shared_ptr<PendingCall>& aCall,
                       uint32_t aAttempt,
                       const std::string& aTarget,
                       const http::FetchResult& aResult);
  // Lets the requests that are in flight to an earlier leader wait for an
  // attempt at the current one.
  void ResendToLeader();
  bool MayWait(const PendingCall& aCall) const;
  void Finish(const std::shared_ptr<PendingCall>& aCall, gen::Reply aReply);
  // Sends waiting requests, a few at a time, and ends those that may not wait
  // any longer.
  void ResumeWaiting();
  // Calls `ResumeWaiting` after `aDelay`, or earlier if already scheduled.
  void ScheduleResume(Millis aDelay);

  RelayOptions options;
  http::PooledClient client;
  http::PooledClient pingClient;
  RetryBudget budget;
  Random random;
  asio::steady_timer pingTimer;
  asio::steady_timer waitTimer;
  LogFunction log;
  std::vector<std::string> seeds;
  std::set<std::string> members;
  // Empty while no leader is known.
  std::string leader;
  // Time of the last contact with a leader. Before the first contact, a time so
  // long ago that `outageThreshold` is exceeded and requests are refused at
  // once.
  Millis lastLeaderContact{ -1'000'000 };
  // Position in the list of seeds and members during leader discovery.
  size_t nextCandidate = 0;
  // The instance that a reply named as the leader; pinged next.
  std::string leaderHint;
  bool pingInFlight = false;
  bool stopped = false;
  // Calls are answered at once, without an attempt.
  bool ended = false;
  // Requests that wait for a leader, a connection or a token.
  std::deque<std::shared_ptr<PendingCall>> waiting;
  // When `waitTimer` fires; `Max` while it is not armed.
  Millis resumeDueAt = Millis::Max();
  // Requests with an attempt in flight.
  std::set<std::shared_ptr<PendingCall>> inFlight;
  gen::Limits limits;
  std::function<void(const gen::Limits&)> onLimitsChanged;
  RelayCounters counters;
};

void
Relay::Impl::Fetch(http::PooledClient& aClient,
                   const std::string& aTarget,
                   std::string aBytes,
                   Millis aTimeout,
                   http::FetchCallback aDone)
{
  http::Request request;
  request.method = "POST";
  request.target = "/fleet";
  request.body = std::move(aBytes);
  aClient.Fetch({ aTarget, options.port },
                std::move(request),
                { .timeout = aTimeout, .maxBodyBytes = kMaxReplyBytes },
                std::move(aDone));
}

std::string
Relay::Impl::NextTarget()
{
  if (!leaderHint.empty()) {
    return std::exchange(leaderHint, {});
  }
  if (!leader.empty()) {
    return leader;
  }
  std::vector<std::string> candidates(seeds);
  for (const std::string& it : members) {
    if (std::find(seeds.begin(), seeds.end(), it) == seeds.end()) {
      candidates.push_back(it);
    }
  }
  if (candidates.empty()) {
    return {};
  }
  return candidates[nextCandidate++ % candidates.size()];
}

void
Relay::Impl::Ping()
{
  if (stopped) {
    return;
  }
  std::string target = pingInFlight ? std::string() : NextTarget();
  if (!target.empty()) {
    pingInFlight = true;
    gen::Request request;
    request.kind = static_cast<int32_t>(RequestKind::kPing);
    Fetch(pingClient,
          target,
          fleet::Encode(request),
          options.pingTimeout,
          [self = shared_from_this(), target](http::FetchResult aResult) {
            self->pingInFlight = false;
            self->OnPing(target, aResult);
          });
  }
  // Pings four times as often while no leader is known.
  Millis delay =
    leader.empty() ? options.pingInterval / 4 : options.pingInterval;
  pingTimer.expires_after(ToChrono(delay));
  pingTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->Ping();
    }
  });
}

void
Relay::Impl::OnPing(const std::string& aTarget,
                    const http::FetchResult& aResult)
{
  if (stopped) {
    return;
  }
  // Only the presence of an error matters here; its code is not used.
  auto reply =
    aResult.verdict == Verdict::kAnswered
      ? fleet::Decode<gen::Reply>(aResult.response.body)
      : Result<gen::Reply>(std::make_error_code(std::errc::connection_refused));
  if (!reply) {
    if (aTarget == leader) {
      CheckLeader({ .verdict = aResult.verdict,
                    .error = aResult.error,
                    .lastHeardAt = lastLeaderContact });
    }
    return;
  }
  ApplyMembersAndLimits(reply.Value());
  if (static_cast<RequestOutcome>(reply.Value().outcome) ==
      RequestOutcome::kOk) {
    SetLeader(aTarget);
    return;
  }
  if (aTarget == leader) {
    ClearLeader("not_leading");
  }
  if (!reply.Value().leader.empty() && reply.Value().leader != aTarget) {
    leaderHint = reply.Value().leader;
    Ping();
  }
}

void
Relay::Impl::ApplyMembersAndLimits(const gen::Reply& aReply)
{
  // A replica that does not know its group yet, or whose node is closed, names
  // no members.
  if (aReply.members.empty()) {
    return;
  }
  if (members.size() > kMemberCountBeforeReset) {
    members.clear();
  }
  members.insert(aReply.members.begin(), aReply.members.end());
  if (aReply.__isset.limits && !(aReply.limits == limits)) {
    limits = aReply.limits;
    if (onLimitsChanged) {
      onLimitsChanged(limits);
    }
  }
}

void
Relay::Impl::SetLeader(const std::string& aLeader)
{
  lastLeaderContact = MonotonicNow();
  if (leader == aLeader) {
    return;
  }
  leader = aLeader;
  ++counters.leaderChanges;
  log(LogEvent("leader_found").Add("leader", aLeader));
  ResendToLeader();
}

void
Relay::Impl::ClearLeader(std::string_view aReason)
{
  if (leader.empty()) {
    return;
  }
  log(LogEvent("leader_lost")
        .Add("leader", leader)
        .Add("reason", aReason)
        .Add("heard_ms_ago", MonotonicNow() - lastLeaderContact));
  leader.clear();
  Ping();
}

void
Relay::Impl::CheckLeader(const FailedLeaderAttempt& aAttempt)
{
  LeaderLoss loss =
    JudgeLeader(aAttempt, options.maxLeaderSilence, MonotonicNow());
  if (loss != LeaderLoss::kNone) {
    ClearLeader(LeaderLossName(loss));
  }
}

bool
Relay::Impl::MayStartAttempt(const PendingCall& aCall)
{
  if (leader.empty()) {
    return false;
  }
  if (inFlight.size() >= options.maxInFlight) {
    ++counters.waitedForSlot;
    return false;
  }
  bool sameLeader = aCall.attempts > 0 && aCall.target == leader;
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
  aCall->target = leader;
  uint32_t attempt = ++aCall->attempts;
  inFlight.insert(aCall);
  Fetch(client,
        leader,
        aCall->bytes,
        std::min(remaining, options.attemptTimeout),
        [self = shared_from_this(), aCall, attempt, target = leader](
          http::FetchResult aResult) {
          self->OnAttemptResult(aCall, attempt, target, aResult);
        });
}

void
Relay::Impl::ResendToLeader()
{
  std::vector<std::shared_ptr<PendingCall>> toResend;
  for (const auto& it : inFlight) {
    if (it->target != leader) {
      toResend.push_back(it);
    }
  }
  for (const auto& it : toResend) {
    ++counters.retriesLeaderChanged;
    it->mayHaveRun = !it->readOnly;
    inFlight.erase(it);
    Wait(it);
  }
  if (!waiting.empty()) {
    ResumeWaiting();
  }
}

bool
Relay::Impl::MayWait(const PendingCall& aCall) const
{
  Millis now = MonotonicNow();
  if (stopped || now >= aCall.deadline) {
    return false;
  }
  // Only a later attempt can determine the outcome of a request that may have
  // run.
  if (aCall.mayHaveRun) {
    return true;
  }
  return now - lastLeaderContact <= options.outageThreshold &&
         now - aCall.startTime < options.leaderWaitTimeout;
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
  waiting.push_back(aCall);
  ScheduleResume(leader.empty()
                   ? kLeaderCheckInterval
                   : random.Between(kResumeInterval / 2, kResumeInterval));
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
    inFlight.erase(aCall);
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
    if (fromLeader && aTarget == leader) {
      lastLeaderContact = MonotonicNow();
    }
    if (fromLeader && isFinal) {
      Finish(aCall, std::move(reply).Value());
      return;
    }
    ++counters.retriesNotLeader;
    if (reply) {
      notLeading = !fromLeader;
      ApplyMembersAndLimits(reply.Value());
      if (reply.Value().leader != aTarget) {
        leaderHint = reply.Value().leader;
      }
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
  if (!aCall->path.empty()) {
    log(LogEvent("attempt_failed")
          .Add("path", aCall->path)
          .Add("leader", aTarget)
          .Add("attempt", aCall->attempts)
          .Add("verdict", VerdictName(aResult.verdict))
          .Add("took_ms", MonotonicNow() - aCall->startTime));
  }
  if (aTarget == leader) {
    CheckLeader({ .verdict = aResult.verdict,
                  .error = aResult.error,
                  .answeredNotLeading = notLeading,
                  .lastHeardAt = lastLeaderContact });
  }
  StartAttempt(aCall);
}

void
Relay::Impl::Finish(const std::shared_ptr<PendingCall>& aCall,
                    gen::Reply aReply)
{
  aCall->finished = true;
  inFlight.erase(aCall);
  auto outcome = static_cast<RequestOutcome>(aReply.outcome);
  if (aCall->mayHaveRun && fleet::IsKnownNotExecuted(outcome)) {
    aReply = MakeReply(RequestOutcome::kMayHaveRun);
  }
  aCall->done({ .reply = std::move(aReply),
                .attempts = aCall->attempts,
                .leader = leader,
                .timeSinceLeaderContact = MonotonicNow() - lastLeaderContact });
  if (!waiting.empty() && !leader.empty()) {
    ScheduleResume(Millis(0));
  }
}

Relay::Relay(asio::io_context& aContext,
             RelayOptions aOptions,
             LogFunction aLog)
  : mImpl(std::make_shared<Impl>(aContext, aOptions, std::move(aLog)))
{
}

Relay::~Relay()
{
  Stop();
}

void
Relay::Start(const std::vector<std::string>& aSeeds)
{
  mImpl->seeds = aSeeds;
  mImpl->Ping();
}

void
Relay::SetSeeds(const std::vector<std::string>& aSeeds)
{
  mImpl->seeds = aSeeds;
}

void
Relay::Stop()
{
  mImpl->stopped = true;
  mImpl->pingTimer.cancel();
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
  auto waiting = std::exchange(mImpl->waiting, {});
  calls.insert(calls.end(), waiting.begin(), waiting.end());
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
  call->startTime = MonotonicNow();
  call->deadline = aDeadline;
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
  return !mImpl->leader.empty();
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
