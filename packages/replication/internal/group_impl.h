// The implementation of `Group`: connects the Raft core with the files, the
// codecs and the state machine.

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
  void SetDiscoveryInstances(std::vector<InstanceId> aContacts) override;
  bool IsLeader(Millis aNow) const override;
  bool IsLeader() const override { return IsLeader(mNow); }
  std::optional<InstanceId> Leader() const override;
  uint64_t Term() const override;
  uint64_t AppliedIndex() const override { return mApplied; }
  GroupStatus Status() const override;

  // The core, for tests; null until the replica belongs to a group.
  const Raft* Core() const { return mRaft.get(); }

private:
  struct Pending
  {
    uint64_t term = 0;
    ProposeCallback done;
  };

  GroupImpl(GroupOptions aOptions, StateMachine& aMachine, SendFunction aSend);

  std::error_code Load(uint64_t aEntropy);
  void CreateRaft(RaftState aState);
  OwnStatus StatusForFormation() const;
  void Handle(Formation::Outcome aOutcome);
  void HandleRaft(const Message& aMessage);
  void RecordApplicant(const Message& aMessage);
  // Writes, sends and applies what the core decided; false if it was nothing.
  bool Flush();
  std::error_code Write(const Effects& aEffects);
  void ApplyCommitted(const std::vector<Entry>& aEntries);
  void AnswerReads(const std::vector<ReadResult>& aResults);
  void DropStaleProposals();
  void MaybeSnapshot();
  void Send(std::vector<Message> aMessages);
  void StepDown(std::error_code aError);
  void Change(MembershipChange aChange,
              const Member& aMember,
              ProposeCallback aDone);
  void Await(const Result<Position>& aPosition, ProposeCallback aDone);
  void FailLater(std::error_code aError, ProposeCallback aDone);

  const GroupOptions mOptions;
  StateMachine& mMachine;
  const SendFunction mSend;
  Millis mNow;
  // Work was queued since the last `Tick`.
  bool mQueued = true;

  std::unique_ptr<LogStore> mStore;
  StateRecord mState;
  // `mState` differs from the file.
  bool mStateChanged = false;
  Member mSelf;
  uint64_t mRepair = 0;
  uint64_t mSeed = 0;
  std::optional<Formation> mFormation;
  std::unique_ptr<Raft> mRaft;
  // To send once the state is written.
  std::vector<Message> mFormationMessages;
  std::error_code mDiskError;

  uint64_t mApplied = 0;
  uint64_t mAppliedBytes = 0;
  // By log index; all of the current term.
  std::map<uint64_t, Pending> mPending;
  std::map<uint64_t, ReadCallback> mReads;
  std::vector<std::function<void()>> mCallbacks;
  // By instance, the latest disk that applied for membership.
  std::map<InstanceId, DiskId> mApplicants;
};

} // namespace limpetwood::replication::internal
