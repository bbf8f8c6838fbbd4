#include "routing/key_recorder.h"

#include <algorithm>

namespace limpetwood::routing {

KeyRecorder::KeyRecorder(IdempotencyKey aKey,
                         KeyHolder aHolder,
                         std::vector<std::vector<InstanceId>> aOwnerSets)
  : mKey(std::move(aKey))
  , mHolder(std::move(aHolder))
  , mOwnerSets(std::move(aOwnerSets))
{
  for (const auto& set : mOwnerSets) {
    for (const InstanceId& it : set) {
      if (std::find(mAllOwners.begin(), mAllOwners.end(), it) ==
          mAllOwners.end()) {
        mAllOwners.push_back(it);
      }
    }
  }
}

bool
KeyRecorder::HasReplied(const InstanceId& aOwner) const
{
  return std::any_of(mReplies.begin(),
                     mReplies.end(),
                     [&](const OwnerReply& it) { return it.from == aOwner; });
}

void
KeyRecorder::OnReply(const InstanceId& aFrom, const KeyReply& aReply)
{
  bool isOwner =
    std::find(mAllOwners.begin(), mAllOwners.end(), aFrom) != mAllOwners.end();
  if (!isOwner || aReply.holder != mHolder || aReply.key != mKey ||
      HasReplied(aFrom)) {
    return;
  }
  mReplies.push_back(OwnerReply{ aFrom, aReply.status });
  if (aReply.status == KeyStatus::kAlreadyStarted &&
      aReply.verdict == Verdict::kAnswered) {
    mExistingVerdict = Verdict::kAnswered;
  }
}

KeyRecorder::State
KeyRecorder::CurrentState() const
{
  bool granted = !mOwnerSets.empty();
  bool majorityReplied = granted;
  bool majorityUnattainable = false;
  for (const auto& set : mOwnerSets) {
    std::size_t recorded = 0;
    std::size_t startedElsewhere = 0;
    for (const OwnerReply& it : mReplies) {
      if (std::find(set.begin(), set.end(), it.from) != set.end()) {
        recorded += it.status == KeyStatus::kRecorded ? 1 : 0;
        startedElsewhere += it.status == KeyStatus::kAlreadyStarted ? 1 : 0;
      }
    }
    std::size_t majority = set.size() / 2 + 1;
    granted = granted && recorded >= majority;
    majorityReplied =
      majorityReplied && recorded + startedElsewhere >= majority;
    // So many owners hold the key for another request that no further request
    // can get a majority.
    majorityUnattainable =
      majorityUnattainable || set.size() - startedElsewhere < majority;
  }
  if (granted) {
    return State::kGranted;
  }
  bool complete = mReplies.size() == mAllOwners.size();
  bool anyStartedElsewhere =
    std::any_of(mReplies.begin(), mReplies.end(), [](const OwnerReply& it) {
      return it.status == KeyStatus::kAlreadyStarted;
    });
  if (majorityReplied && anyStartedElsewhere &&
      (majorityUnattainable || complete)) {
    return State::kAlreadyStarted;
  }
  return complete ? State::kUnknown : State::kWaiting;
}

} // namespace limpetwood::routing
