#include "fleetd/relay.h"

#include <algorithm>
#include <chrono>
#include <deque>

namespace limpetwood::fleetd {

namespace {

namespace asio = boost::asio;
using fleet::RequestKind;
using fleet::RequestOutcome;
namespace gen = fleet::gen;

// Replies carry at most a configuration.
constexpr uint64_t kMaxReplyBytes = 16U << 20U;
// Pause before a request is sent to the leader that was just found.
constexpr Millis kRetryPause(30);
// Instances learned from replies that are kept.
constexpr size_t kMostMembers = 32;

gen::Reply
ReplyOf(RequestOutcome aOutcome)
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

// One request on its way, over several attempts.
struct PendingCall
{
  std::string bytes;
  Millis begun;
  Millis deadline;
  RelayCallback done;
  // Names the request in the log.
  std::string path;
  // Numbers the attempts; only the last one decides.
  uint32_t attempts = 0;
  // The instance that the last attempt went to, while it has no result.
  std::string target;
  bool ended = false;
  // An attempt got no answer and may have changed something.
  bool unknown = false;
  // Leaves no trace, so an attempt without an answer counts as not run.
  bool readsOnly = false;
};

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
  Impl(asio::io_context& aContext, RelayOptions aOptions, LogFunction aLog)
    : options(aOptions)
    , client(aContext, PoolLimitsFor())
    , pingTimer(aContext)
    , waitTimer(aContext)
    , log(std::move(aLog))
  {
  }

  static http::PoolLimits PoolLimitsFor()
  {
    http::PoolLimits limits;
    limits.maxConnections = 256;
    limits.connectTimeout = Millis(400);
    return limits;
  }

  void Ping();
  void OnPing(const std::string& aTarget, const http::FetchResult& aResult);
  std::string NextTarget();
  void SetLeader(const std::string& aLeader);
  void LoseLeader(std::string_view aReason);
  void Learn(const gen::Reply& aReply);
  void Fetch(const std::string& aTarget,
             std::string aBytes,
             Millis aTimeout,
             http::FetchCallback aDone);

  void Attempt(const std::shared_ptr<PendingCall>& aCall);
  void Wait(const std::shared_ptr<PendingCall>& aCall);
  void OnAttempt(const std::shared_ptr<PendingCall>& aCall,
                 uint32_t aAttempt,
                 const std::string& aTarget,
                 const http::FetchResult& aResult);
  // Sends the requests that wait for an answer of an earlier leader again.
  void MoveToLeader();
  bool MayWait(const PendingCall& aCall) const;
  void Finish(const std::shared_ptr<PendingCall>& aCall, gen::Reply aReply);
  void ResumeWaiting();

  RelayOptions options;
  http::PooledClient client;
  asio::steady_timer pingTimer;
  asio::steady_timer waitTimer;
  LogFunction log;
  std::vector<std::string> seeds;
  std::set<std::string> members;
  // Empty while none is known.
  std::string leader;
  Millis leaderHeard{ -1'000'000 };
  // Position in seeds and members while looking for the leader.
  size_t turn = 0;
  // Named by a reply as the leader; tried next.
  std::string hint;
  bool pinging = false;
  bool stopped = false;
  // Requests that wait for a leader.
  std::deque<std::shared_ptr<PendingCall>> waiting;
  // Requests with an attempt on its way.
  std::set<std::shared_ptr<PendingCall>> sent;
  gen::Limits limits;
  std::function<void(const gen::Limits&)> limitsChanged;
  RelayCounters counters;
};

void
Relay::Impl::Fetch(const std::string& aTarget,
                   std::string aBytes,
                   Millis aTimeout,
                   http::FetchCallback aDone)
{
  http::Request request;
  request.method = "POST";
  request.target = "/fleet";
  request.body = std::move(aBytes);
  client.Fetch({ aTarget, options.port },
               std::move(request),
               { .timeout = aTimeout, .maxBodyBytes = kMaxReplyBytes },
               std::move(aDone));
}

std::string
Relay::Impl::NextTarget()
{
  if (!hint.empty()) {
    return std::exchange(hint, {});
  }
  if (!leader.empty()) {
    return leader;
  }
  std::vector<std::string> known(seeds);
  for (const std::string& it : members) {
    if (std::find(seeds.begin(), seeds.end(), it) == seeds.end()) {
      known.push_back(it);
    }
  }
  if (known.empty()) {
    return {};
  }
  return known[turn++ % known.size()];
}

void
Relay::Impl::Ping()
{
  if (stopped) {
    return;
  }
  std::string target = pinging ? std::string() : NextTarget();
  if (!target.empty()) {
    pinging = true;
    gen::Request request;
    request.kind = static_cast<int32_t>(RequestKind::kPing);
    Fetch(target,
          fleet::Encode(request),
          options.pingTimeout,
          [self = shared_from_this(), target](http::FetchResult aResult) {
            self->pinging = false;
            self->OnPing(target, aResult);
          });
  }
  // Looks for a lost leader four times as often.
  Millis pause =
    leader.empty() ? options.pingInterval / 4 : options.pingInterval;
  pingTimer.expires_after(ToChrono(pause));
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
  auto reply =
    aResult.verdict == Verdict::kAnswered
      ? fleet::Decode<gen::Reply>(aResult.response.body)
      : Result<gen::Reply>(std::make_error_code(std::errc::connection_refused));
  if (!reply) {
    if (aTarget == leader) {
      LoseLeader("ping_unanswered");
    }
    return;
  }
  Learn(reply.Value());
  if (static_cast<RequestOutcome>(reply.Value().outcome) ==
      RequestOutcome::kOk) {
    SetLeader(aTarget);
    return;
  }
  if (aTarget == leader) {
    LoseLeader("not_leading");
  }
  if (!reply.Value().leader.empty() && reply.Value().leader != aTarget) {
    hint = reply.Value().leader;
    Ping();
  }
}

void
Relay::Impl::Learn(const gen::Reply& aReply)
{
  if (aReply.members.empty()) {
    return;
  }
  if (members.size() > kMostMembers) {
    members.clear();
  }
  members.insert(aReply.members.begin(), aReply.members.end());
  if (aReply.__isset.limits && !(aReply.limits == limits)) {
    limits = aReply.limits;
    if (limitsChanged) {
      limitsChanged(limits);
    }
  }
}

void
Relay::Impl::SetLeader(const std::string& aLeader)
{
  leaderHeard = MonotonicNow();
  if (leader == aLeader) {
    return;
  }
  leader = aLeader;
  ++counters.leaderChanges;
  log(LogEvent("leader_found").Add("leader", aLeader));
  ResumeWaiting();
  MoveToLeader();
}

void
Relay::Impl::LoseLeader(std::string_view aReason)
{
  if (leader.empty()) {
    return;
  }
  log(LogEvent("leader_lost")
        .Add("leader", leader)
        .Add("reason", aReason)
        .Add("heard_ms_ago", MonotonicNow() - leaderHeard));
  leader.clear();
  Ping();
}

void
Relay::Impl::Attempt(const std::shared_ptr<PendingCall>& aCall)
{
  Millis now = MonotonicNow();
  if (leader.empty()) {
    Wait(aCall);
    return;
  }
  Millis left = aCall->deadline - now;
  if (left <= Millis(0)) {
    Finish(aCall, ReplyOf(RequestOutcome::kUnavailable));
    return;
  }
  aCall->target = leader;
  uint32_t attempt = ++aCall->attempts;
  sent.insert(aCall);
  Fetch(leader,
        aCall->bytes,
        std::min(left, options.attemptTimeout),
        [self = shared_from_this(), aCall, attempt, target = leader](
          http::FetchResult aResult) {
          self->OnAttempt(aCall, attempt, target, aResult);
        });
}

void
Relay::Impl::MoveToLeader()
{
  std::vector<std::shared_ptr<PendingCall>> moved;
  for (const auto& it : sent) {
    if (it->target != leader) {
      moved.push_back(it);
    }
  }
  for (const auto& it : moved) {
    ++counters.retriesMoved;
    it->unknown = !it->readsOnly;
    Attempt(it);
  }
}

bool
Relay::Impl::MayWait(const PendingCall& aCall) const
{
  Millis now = MonotonicNow();
  if (stopped || now >= aCall.deadline) {
    return false;
  }
  // Only another attempt can tell what became of a request that may have run.
  if (aCall.unknown) {
    return true;
  }
  return now - leaderHeard <= options.outageAfter &&
         now - aCall.begun < options.leaderWait;
}

void
Relay::Impl::Wait(const std::shared_ptr<PendingCall>& aCall)
{
  if (!MayWait(*aCall)) {
    ++counters.refusedNoLeader;
    Finish(aCall, ReplyOf(RequestOutcome::kUnavailable));
    return;
  }
  waiting.push_back(aCall);
  if (waiting.size() > 1) {
    return;
  }
  waitTimer.expires_after(ToChrono(kRetryPause * 3));
  waitTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->ResumeWaiting();
    }
  });
}

void
Relay::Impl::ResumeWaiting()
{
  auto calls = std::exchange(waiting, {});
  for (const auto& it : calls) {
    Attempt(it);
  }
}

void
Relay::Impl::OnAttempt(const std::shared_ptr<PendingCall>& aCall,
                       uint32_t aAttempt,
                       const std::string& aTarget,
                       const http::FetchResult& aResult)
{
  if (aCall->ended) {
    return;
  }
  bool last = aAttempt == aCall->attempts;
  if (last) {
    sent.erase(aCall);
    aCall->target.clear();
  }
  if (aResult.verdict == Verdict::kAnswered) {
    auto reply = fleet::Decode<gen::Reply>(aResult.response.body);
    bool leads = reply && static_cast<RequestOutcome>(reply.Value().outcome) !=
                            RequestOutcome::kNotLeader;
    // An earlier leader's success holds; what it refused, a later attempt may
    // have got done.
    bool decides =
      last || (reply && static_cast<RequestOutcome>(reply.Value().outcome) ==
                          RequestOutcome::kOk);
    if (leads && decides) {
      leaderHeard = MonotonicNow();
      Finish(aCall, std::move(reply).Value());
      return;
    }
    ++counters.retriesNotLeader;
    if (reply) {
      Learn(reply.Value());
      if (reply.Value().leader != aTarget) {
        hint = reply.Value().leader;
      }
    }
  } else if (aResult.verdict == Verdict::kMayHaveRun) {
    ++counters.retriesNoAnswer;
    aCall->unknown = !aCall->readsOnly;
  } else {
    ++counters.retriesNotSent;
  }
  if (!last) {
    return;
  }
  if (!aCall->path.empty()) {
    log(LogEvent("attempt_failed")
          .Add("path", aCall->path)
          .Add("leader", aTarget)
          .Add("attempt", aCall->attempts)
          .Add("verdict", VerdictName(aResult.verdict))
          .Add("took_ms", MonotonicNow() - aCall->begun));
  }
  if (aTarget == leader) {
    LoseLeader(aResult.verdict == Verdict::kAnswered ? "not_leading"
                                                     : "request_unanswered");
  }
  Attempt(aCall);
}

void
Relay::Impl::Finish(const std::shared_ptr<PendingCall>& aCall,
                    gen::Reply aReply)
{
  aCall->ended = true;
  sent.erase(aCall);
  auto outcome = static_cast<RequestOutcome>(aReply.outcome);
  if (aCall->unknown && fleet::IsKnownNotExecuted(outcome)) {
    aReply = ReplyOf(RequestOutcome::kMayHaveRun);
  }
  aCall->done({ .reply = std::move(aReply),
                .attempts = aCall->attempts,
                .leader = leader,
                .timeSinceLeaderContact = MonotonicNow() - leaderHeard });
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
Relay::Call(const gen::Request& aRequest, Millis aDeadline, RelayCallback aDone)
{
  ++mImpl->counters.calls;
  auto call = std::make_shared<PendingCall>();
  call->bytes = fleet::Encode(aRequest);
  call->path = aRequest.path;
  auto kind = static_cast<RequestKind>(aRequest.kind);
  call->readsOnly =
    kind == RequestKind::kRead || kind == RequestKind::kGetConfiguration;
  call->begun = MonotonicNow();
  call->deadline = aDeadline;
  call->done = std::move(aDone);
  mImpl->Attempt(call);
}

void
Relay::OnLimits(std::function<void(const gen::Limits&)> aChanged)
{
  mImpl->limitsChanged = std::move(aChanged);
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
