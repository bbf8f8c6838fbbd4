#include "fleetd/leader_finder.h"

#include "fleet/request.h"

#include <algorithm>
#include <chrono>

namespace limpetwood::fleetd {

namespace {

namespace asio = boost::asio;
using fleet::RequestKind;
using fleet::RequestOutcome;
namespace gen = fleet::gen;

// Large enough for a reply that contains a configuration (16 MiB).
constexpr uint64_t kMaxReplyBytes = 16U << 20U;
// Connections to each instance for pings, apart from those of requests, so that
// requests in flight cannot delay the pings.
constexpr uint32_t kMaxPingConnections = 2;
constexpr Millis kConnectTimeout(400);
// Maximum number of candidates that are pinged at the same time, so that the
// instances of a large group do not ping all others at once.
constexpr size_t kMaxCandidatesAtOnce = 5;
// How long an instance that was named as the leader is pinged often, which is
// longer than a new leader usually needs to confirm its state, and the interval
// of these pings.
constexpr Millis kNamedLeaderTime(500);
constexpr Millis kNamedLeaderPingInterval(20);
// Number of instances learned from replies above which the set is cleared
// before the next reply's members are added, so that it does not grow without
// bound.
constexpr size_t kMemberCountBeforeReset = 32;

} // namespace

http::PoolLimits
InstancePoolLimits(uint32_t aMaxConnections)
{
  http::PoolLimits limits;
  limits.maxConnections = aMaxConnections;
  limits.connectTimeout = kConnectTimeout;
  return limits;
}

void
PostToInstance(http::PooledClient& aClient,
               const http::Endpoint& aTarget,
               std::string aBytes,
               Millis aTimeout,
               http::FetchCallback aDone)
{
  http::Request request;
  request.method = "POST";
  request.target = "/fleet";
  request.body = std::move(aBytes);
  aClient.Fetch(aTarget,
                std::move(request),
                { .timeout = aTimeout, .maxBodyBytes = kMaxReplyBytes },
                std::move(aDone));
}

LeaderFinder::LeaderFinder(asio::io_context& aContext,
                           const RelayOptions& aOptions,
                           LogFunction aLog,
                           Callbacks aCallbacks)
  : mOptions(aOptions)
  , mLog(std::move(aLog))
  , mCallbacks(std::move(aCallbacks))
  , mClient(aContext, InstancePoolLimits(kMaxPingConnections))
  , mTimer(aContext)
{
}

void
LeaderFinder::Start(std::vector<std::string> aSeeds)
{
  mSeeds = std::move(aSeeds);
  mLeaderLostAt = MonotonicNow();
  SendPings();
}

void
LeaderFinder::SetSeeds(std::vector<std::string> aSeeds)
{
  mSeeds = std::move(aSeeds);
}

void
LeaderFinder::Stop()
{
  mStopped = true;
  mTimer.cancel();
}

std::vector<std::string>
LeaderFinder::Candidates() const
{
  std::vector<std::string> out(mSeeds);
  for (const std::string& it : mMembers) {
    if (std::find(mSeeds.begin(), mSeeds.end(), it) == mSeeds.end()) {
      out.push_back(it);
    }
  }
  return out;
}

bool
LeaderFinder::IsCutOff() const
{
  Millis silentSince = std::max(mOtherHeardAt, mLeaderLostAt);
  if (!mLeader.empty() ||
      MonotonicNow() - silentSince < mOptions.maxLeaderSilence) {
    return false;
  }
  std::vector<std::string> candidates = Candidates();
  return std::any_of(candidates.begin(),
                     candidates.end(),
                     [this](const auto& it) { return it != mOptions.self; });
}

void
LeaderFinder::SendPings()
{
  if (mStopped) {
    return;
  }
  Millis now = MonotonicNow();
  Millis delay =
    mLeader.empty() ? mOptions.pingInterval / 4 : mOptions.pingInterval;
  if (now >= mNextPings) {
    mNextPings = now + delay;
    if (mLeader.empty()) {
      PingCandidates();
    } else {
      Ping(mLeader);
    }
  }
  if (now >= mNamedUntil) {
    mNamed.clear();
  }
  delay = mNextPings - now;
  if (!mNamed.empty()) {
    Ping(mNamed);
    delay = std::min(delay, kNamedLeaderPingInterval);
  }
  mTimer.expires_after(std::chrono::milliseconds(delay.Count()));
  mTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->SendPings();
    }
  });
}

void
LeaderFinder::PingCandidates()
{
  std::vector<std::string> candidates = Candidates();
  size_t count = std::min(candidates.size(), kMaxCandidatesAtOnce);
  for (size_t n = 0; n < count; ++n) {
    Ping(candidates[mNextCandidate++ % candidates.size()]);
  }
}

void
LeaderFinder::Ping(const std::string& aTarget)
{
  if (!mPinged.insert(aTarget).second) {
    return;
  }
  gen::Request request;
  request.kind = static_cast<int32_t>(RequestKind::kPing);
  PostToInstance(mClient,
                 { aTarget, mOptions.port },
                 fleet::Encode(request),
                 mOptions.pingTimeout,
                 [self = shared_from_this(), aTarget, sentAt = MonotonicNow()](
                   const http::FetchResult& aResult) {
                   self->mPinged.erase(aTarget);
                   self->OnPing(aTarget, sentAt, aResult);
                 });
}

void
LeaderFinder::OnPing(const std::string& aTarget,
                     Millis aSentAt,
                     const http::FetchResult& aResult)
{
  if (mStopped) {
    return;
  }
  // Only the presence of an error matters here; its code is not used.
  auto reply =
    aResult.verdict == Verdict::kAnswered
      ? fleet::Decode<gen::Reply>(aResult.response.body)
      : Result<gen::Reply>(std::make_error_code(std::errc::connection_refused));
  if (!reply) {
    if (aTarget == mLeader) {
      OnFailedAttempt({ .verdict = aResult.verdict, .error = aResult.error });
    }
    return;
  }
  bool leads =
    static_cast<RequestOutcome>(reply.Value().outcome) == RequestOutcome::kOk;
  if (!leads && aTarget == mLeader) {
    ClearLeader("not_leading");
  }
  OnReply(aTarget, reply.Value());
  // An answer to a ping from before the known leader was found may be that of
  // an earlier leader.
  bool outdated =
    !mLeader.empty() && mLeader != aTarget && aSentAt < mLeaderFoundAt;
  if (leads && !outdated) {
    SetLeader(aTarget);
  }
}

void
LeaderFinder::OnReply(const std::string& aFrom, const gen::Reply& aReply)
{
  if (aFrom != mOptions.self) {
    mOtherHeardAt = MonotonicNow();
  }
  // A replica that does not know its group yet, or whose node is closed, names
  // no members.
  if (!aReply.members.empty()) {
    if (mMembers.size() > kMemberCountBeforeReset) {
      mMembers.clear();
    }
    mMembers.insert(aReply.members.begin(), aReply.members.end());
    if (aReply.__isset.limits && !(aReply.limits == mLimits)) {
      mLimits = aReply.limits;
      mCallbacks.onLimitsChanged(mLimits);
    }
  }
  if (aReply.leader != aFrom) {
    OnLeaderNamed(aReply.leader);
  }
}

void
LeaderFinder::OnLeaderNamed(const std::string& aInstance)
{
  // While the instance is pinged often, it must not be pinged again for each of
  // the replies that name it.
  if (mStopped || aInstance.empty() || aInstance == mLeader ||
      aInstance == mNamed) {
    return;
  }
  mNamed = aInstance;
  mNamedUntil = MonotonicNow() + kNamedLeaderTime;
  SendPings();
}

void
LeaderFinder::SetLeader(const std::string& aLeader)
{
  mLastLeaderContact = MonotonicNow();
  if (mNamed == aLeader) {
    mNamed.clear();
  }
  if (mLeader == aLeader) {
    return;
  }
  mLeader = aLeader;
  mLeaderFoundAt = mLastLeaderContact;
  mLog(LogEvent("leader_found").Add("leader", aLeader));
  mCallbacks.onLeaderFound();
}

void
LeaderFinder::ClearLeader(std::string_view aReason)
{
  if (mLeader.empty()) {
    return;
  }
  mLeaderLostAt = MonotonicNow();
  mLog(LogEvent("leader_lost")
         .Add("leader", mLeader)
         .Add("reason", aReason)
         .Add("heard_ms_ago", mLeaderLostAt - mLastLeaderContact));
  mLeader.clear();
  mNextPings = Millis(0);
  SendPings();
}

void
LeaderFinder::OnFailedAttempt(FailedLeaderAttempt aAttempt)
{
  aAttempt.lastHeardAt = mLastLeaderContact;
  LeaderLoss loss =
    JudgeLeader(aAttempt, mOptions.maxLeaderSilence, MonotonicNow());
  if (loss != LeaderLoss::kNone) {
    ClearLeader(LeaderLossName(loss));
  }
}

} // namespace limpetwood::fleetd
