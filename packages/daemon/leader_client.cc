#include "daemon/leader_client.h"

#include <algorithm>

namespace limpetwood::daemon {

namespace gen = control::gen;

namespace {

// Time allowed for a heartbeat reply to arrive, added to the heartbeat interval
// while replicas are tried in turn.
constexpr Millis kReplyTimeAllowance = Millis(200);

} // namespace

LeaderClient::LeaderClient(std::vector<InstanceId> aReplicas,
                           uint64_t aRequestIdSeed,
                           Millis aHeartbeatInterval,
                           SendFunction aSend)
  : mReplicas(std::move(aReplicas))
  , mHeartbeatInterval(aHeartbeatInterval)
  , mSend(std::move(aSend))
  // 47 bits keep the ids positive as they count up.
  , mLastRequestId(static_cast<int64_t>(aRequestIdSeed & 0x7fffffffffffULL))
{
  if (!mReplicas.empty()) {
    mTarget = mReplicas.front();
  }
}

void
LeaderClient::Propose(std::string aCommand,
                      Millis aNow,
                      std::function<void(ProposeAnswer)> aDone)
{
  int64_t id = ++mLastRequestId;
  gen::Propose propose;
  propose.id = id;
  propose.command = std::move(aCommand);
  Pending pending;
  pending.message.__set_propose(propose);
  pending.proposeDone = std::move(aDone);
  Submit(std::move(pending), id, aNow);
}

void
LeaderClient::Query(std::string aTarget,
                    Millis aNow,
                    std::function<void(QueryAnswer)> aDone)
{
  int64_t id = ++mLastRequestId;
  gen::Query query;
  query.id = id;
  query.target = std::move(aTarget);
  Pending pending;
  pending.message.__set_query(query);
  pending.queryDone = std::move(aDone);
  Submit(std::move(pending), id, aNow);
}

void
LeaderClient::Submit(Pending aPending, int64_t aId, Millis aNow)
{
  if (mTarget.empty() || (mHadLeader && !HasContact(aNow))) {
    // The request was not sent, so it has certainly not run.
    Finish(std::move(aPending), Verdict::kNotRun, "no_quorum");
    return;
  }
  aPending.deadline = aNow + kRequestDeadline;
  aPending.retryAt = Millis::Max();
  auto [it, inserted] = mPending.emplace(aId, std::move(aPending));
  SendPending(it->second);
}

void
LeaderClient::SendPending(Pending& aPending)
{
  aPending.sentTo = mTarget;
  aPending.retryAt = Millis::Max();
  mSend(mTarget, aPending.message);
}

void
LeaderClient::Finish(Pending aPending, Verdict aVerdict, const char* aReason)
{
  if (aPending.proposeDone) {
    aPending.proposeDone({ aVerdict, aReason, {} });
  } else {
    // A query has no side effects, so "not run" is safe also without a reply.
    aPending.queryDone({ Verdict::kNotRun, aReason, 503, {} });
  }
}

void
LeaderClient::OnProposeReply(const InstanceId& aFrom,
                             const gen::ProposeReply& aReply,
                             Millis aNow)
{
  auto it = mPending.find(aReply.id);
  if (it == mPending.end() || !it->second.proposeDone ||
      it->second.sentTo != aFrom) {
    return;
  }
  OnLeaderMessage(aFrom, aNow);
  auto done = std::move(it->second.proposeDone);
  mPending.erase(it);
  ProposeAnswer answer;
  answer.receivedAt = aNow;
  switch (aReply.verdict) {
    case static_cast<int32_t>(Verdict::kAnswered):
      answer.verdict = Verdict::kAnswered;
      break;
    case static_cast<int32_t>(Verdict::kNotRun):
      answer.verdict = Verdict::kNotRun;
      break;
    default:
      answer.verdict = Verdict::kMayHaveRun;
  }
  answer.reason = aReply.reason;
  answer.result = aReply.result;
  done(std::move(answer));
}

void
LeaderClient::OnQueryReply(const InstanceId& aFrom,
                           const gen::QueryReply& aReply,
                           Millis aNow)
{
  auto it = mPending.find(aReply.id);
  if (it == mPending.end() || !it->second.queryDone) {
    return;
  }
  OnLeaderMessage(aFrom, aNow);
  auto done = std::move(it->second.queryDone);
  mPending.erase(it);
  done({ Verdict::kAnswered, "", aReply.status, aReply.body });
}

void
LeaderClient::OnNotLeader(const InstanceId& aFrom,
                          const gen::NotLeader& aAnswer,
                          Millis aNow)
{
  if (aFrom == mTarget) {
    InstanceId hint(aAnswer.leader);
    bool known =
      std::find(mReplicas.begin(), mReplicas.end(), hint) != mReplicas.end();
    if (known && hint != aFrom) {
      mTarget = hint;
      // The replica named as leader has two heartbeat intervals to respond.
      mNextReplicaSwitch = aNow + mHeartbeatInterval * 2;
    } else {
      SwitchToNextReplica();
    }
  }
  if (!aAnswer.__isset.requestId) {
    return;
  }
  auto it = mPending.find(aAnswer.requestId);
  if (it != mPending.end() && it->second.sentTo == aFrom) {
    it->second.sentTo = InstanceId();
    it->second.retryAt = aNow + kRetryDelay;
  }
}

void
LeaderClient::OnLeaderMessage(const InstanceId& aFrom, Millis aNow)
{
  mTarget = aFrom;
  mHadLeader = true;
  mLastLeaderContact = aNow;
  // The leader answers each heartbeat, so at least two replies are missing
  // by then.
  mNextReplicaSwitch = aNow + mHeartbeatInterval * 5 / 2;
}

void
LeaderClient::SwitchToNextReplica()
{
  auto it = std::find(mReplicas.begin(), mReplicas.end(), mTarget);
  if (it == mReplicas.end() || ++it == mReplicas.end()) {
    it = mReplicas.begin();
  }
  mTarget = *it;
}

void
LeaderClient::Tick(Millis aNow)
{
  if (aNow >= mNextReplicaSwitch && !mReplicas.empty()) {
    SwitchToNextReplica();
    mNextReplicaSwitch = aNow + mHeartbeatInterval + kReplyTimeAllowance;
  }
  std::vector<Pending> overdue;
  for (auto it = mPending.begin(); it != mPending.end();) {
    if (aNow >= it->second.deadline) {
      overdue.push_back(std::move(it->second));
      it = mPending.erase(it);
      continue;
    }
    if (aNow >= it->second.retryAt) {
      SendPending(it->second);
    }
    ++it;
  }
  for (Pending& it : overdue) {
    bool refused = it.sentTo.empty();
    Finish(std::move(it),
           refused ? Verdict::kNotRun : Verdict::kMayHaveRun,
           refused ? "no_quorum" : "no_answer");
  }
}

bool
LeaderClient::HasContact(Millis aNow) const
{
  return mHadLeader && aNow - mLastLeaderContact < kContactTimeout;
}

} // namespace limpetwood::daemon
