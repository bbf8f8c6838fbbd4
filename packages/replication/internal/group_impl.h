// The implementation of `Group`: connects the Raft core and `Formation` to the
// log store, the message codec and the state machine.

#pragma once

#include "replication/group.h"
#include "replication/internal/formation.h"
#include "replication/log_store.h"

namespace limpetwood::replication::internal {

class GroupImpl : public Group
{
public:
  static Result<std::unique_ptr<GroupImpl>> Open(GroupOptions aOptions,
                                                 StateMachine& aMachine,
                                                 SendFunction aSend);

  void Receive(const InstanceId& aFrom,
               std::string_view aBytes,
               Millis aNow) override;
  void Tick(Millis aNow) override;
  Millis NextTick() const override;
  void Propose(std::string aCommand,
               Millis aNow,
               ProposeCallback aDone) override;
  void Read(Millis aNow, ReadCallback aDone) override;
  void AddLearner(const Member& aMember,
                  Millis aNow,
                  ProposeCallback aDone) override;
  void Promote(const Member& aMember,
               Millis aNow,
               ProposeCallback aDone) override;
  void Remove(const Member& aMember,
              Millis aNow,
              ProposeCallback aDone) override;
  std::error_code Transfer(const Member& aTo, Millis aNow) override;
  void SetDiscoveryInstances(std::vector<InstanceId> aInstances) override;
  bool IsLeader(Millis aNow) const override;
  bool IsLeader() const override { return IsLeader(mNow); }
  std::optional<InstanceId> Leader() const override;
  uint64_t Term() const override;
  uint64_t AppliedIndex() const override { return mAppliedIndex; }
  GroupStatus Status() const override;

  // For tests. Null until the replica belongs to a group.
  const Raft* RaftForTest() const { return mRaft.get(); }

private:
  struct PendingProposal
  {
    uint64_t term = 0;
    ProposeCallback done;
  };

  GroupImpl(GroupOptions aOptions, StateMachine& aMachine, SendFunction aSend);

  std::error_code Load(uint64_t aEntropy);
  void CreateRaft(InitialState aState);
  LocalStatus MakeLocalStatus() const;
  void ApplyFormationOutcome(Formation::Outcome aOutcome);
  void HandleRaftMessage(const Message& aMessage);
  void RecordApplicant(const Message& aMessage);
  // Writes, sends and applies the core's effects; false if there were none.
  bool Flush();
  std::error_code WriteEffects(const Effects& aEffects);
  void ApplyCommitted(const std::vector<Entry>& aEntries);
  void AnswerReads(const std::vector<ReadResult>& aResults);
  // Fails the proposals of earlier terms, or all if this replica does not lead;
  // then also clears the applicants.
  void FailOutdatedProposals();
  void MaybeSnapshot();
  void Send(std::vector<Message> aMessages);
  void HaltOnDiskError(std::error_code aError);
  void ChangeMembership(MembershipChange aChange,
                        const Member& aMember,
                        ProposeCallback aDone);
  void AddPendingProposal(const Result<LogPosition>& aPosition,
                          ProposeCallback aDone);
  void QueueFailure(std::error_code aError, ProposeCallback aDone);

  const GroupOptions mOptions;
  StateMachine& mMachine;
  const SendFunction mSend;
  Millis mNow;
  // Work was queued since the last `Tick`, or the group was just opened.
  bool mWorkQueued = true;

  std::unique_ptr<LogStore> mStore;
  StateRecord mState;
  // `mState` differs from the file.
  bool mStateChanged = false;
  Member mSelf;
  uint64_t mRepairId = 0;
  uint64_t mRaftSeed = 0;
  std::optional<Formation> mFormation;
  std::unique_ptr<Raft> mRaft;
  // To be sent once `mState` is written.
  std::vector<Message> mFormationMessages;
  std::error_code mDiskError;

  uint64_t mAppliedIndex = 0;
  // Total size of the commands applied since the last snapshot.
  uint64_t mBytesSinceSnapshot = 0;
  // Proposals without an outcome, by log index. `FailOutdatedProposals` keeps
  // only those of the current term.
  std::map<uint64_t, PendingProposal> mPendingProposals;
  // By ticket of `Raft::Read`.
  std::map<uint64_t, ReadCallback> mPendingReads;
  // Run at the end of `Tick`.
  std::vector<std::function<void()>> mReadyCallbacks;
  // By instance, the disk that last asked for admission.
  std::map<InstanceId, DiskId> mApplicants;
};

} // namespace limpetwood::replication::internal
