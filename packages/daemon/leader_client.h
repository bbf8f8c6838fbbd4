// Locates the control leader and sends it requests with a deadline.
//
// A request that a replica refuses with `NotLeader` was not executed and is
// sent again, to the replica that is then taken for the leader. A request
// without a reply is not sent again, because it may have been executed: at its
// deadline, a command ends with the verdict `kMayHaveRun`, and a query, which
// has no side effects, with `kNotRun`.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/verdict.h"
#include "control/codec.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace limpetwood::daemon {

struct ProposeAnswer
{
  Verdict verdict = Verdict::kNotRun;
  // "no_quorum" or "no_answer" if the client ended the request itself, else the
  // leader's error message. Empty if the leader answered.
  std::string reason;
  // Meaningful if the verdict is `kAnswered`.
  control::gen::CommandResult result;
  Millis receivedAt{};
};

struct QueryAnswer
{
  Verdict verdict = Verdict::kNotRun;
  // "no_quorum" or "no_answer"; empty if the leader answered.
  std::string reason;
  // HTTP status and JSON body of the leader's answer; meaningful if the verdict
  // is `kAnswered`. The body is empty if the leader could not confirm its
  // leadership.
  int status = 503;
  std::string body;
};

class LeaderClient
{
public:
  using SendFunction =
    std::function<void(const InstanceId&, const control::gen::ControlMessage&)>;

  // `aReplicas` are the instances that may hold a replica of the control state.
  // Request ids count up from `aRequestIdSeed`. Pass another seed at each start
  // of the process, so that late replies to an earlier process match no
  // request. After 2.5 heartbeat intervals without a message from the leader,
  // the client tries the other replicas in turn.
  LeaderClient(std::vector<InstanceId> aReplicas,
               uint64_t aRequestIdSeed,
               Millis aHeartbeatInterval,
               SendFunction aSend);

  // Send an encoded `gen::Command` or the target of a query to the leader.
  // `aDone` runs exactly once: before the call returns if no replica is known
  // or contact to the leader is lost, else with the reply or, without one, in
  // the first `Tick` after `kRequestDeadline`.
  void Propose(std::string aCommand,
               Millis aNow,
               std::function<void(ProposeAnswer)> aDone);
  void Query(std::string aTarget,
             Millis aNow,
             std::function<void(QueryAnswer)> aDone);

  void OnProposeReply(const InstanceId& aFrom,
                      const control::gen::ProposeReply& aReply,
                      Millis aNow);
  void OnQueryReply(const InstanceId& aFrom,
                    const control::gen::QueryReply& aReply,
                    Millis aNow);
  void OnNotLeader(const InstanceId& aFrom,
                   const control::gen::NotLeader& aAnswer,
                   Millis aNow);
  // Call for any other message that only a leader sends.
  void OnLeaderMessage(const InstanceId& aFrom, Millis aNow);

  // Ends requests whose deadline has passed, resends refused ones, and selects
  // another replica while no leader responds.
  void Tick(Millis aNow);

  // The replica that is assumed to be the leader.
  const InstanceId& Target() const { return mTarget; }

  // Returns true if a leader responded within the last `kContactTimeout`.
  bool HasContact(Millis aNow) const;

  static constexpr Millis kRequestDeadline = Seconds(5);
  // Delay before a refused request is sent again.
  static constexpr Millis kRetryDelay = Millis(100);
  // Without a message from a leader for this long, new requests are refused.
  static constexpr Millis kContactTimeout = Seconds(10);

private:
  struct Pending
  {
    control::gen::ControlMessage message;
    // Exactly one of the two callbacks is set.
    std::function<void(ProposeAnswer)> proposeDone;
    std::function<void(QueryAnswer)> queryDone;
    Millis deadline;
    // The replica whose reply is awaited; empty after it refused the request.
    InstanceId sentTo;
    // Time at which a refused request is sent again; `Millis::Max()` for
    // others.
    Millis retryAt;
  };

  void Submit(Pending aPending, int64_t aId, Millis aNow);
  void SendPending(Pending& aPending);
  void Finish(Pending aPending, Verdict aVerdict, const char* aReason);
  void SwitchToNextReplica();

  std::vector<InstanceId> mReplicas;
  Millis mHeartbeatInterval;
  SendFunction mSend;
  InstanceId mTarget;
  int64_t mLastRequestId;
  Millis mLastLeaderContact;
  bool mHadLeader = false;
  // Time at which `Tick` selects another replica.
  Millis mNextReplicaSwitch;
  // Requests by id. The callback of each request runs exactly once.
  std::map<int64_t, Pending> mPending;
};

} // namespace limpetwood::daemon
