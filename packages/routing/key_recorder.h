// Records an idempotency key at a majority of its owners before the request is
// sent for the first time, and evaluates their replies.

#pragma once

#include "routing/key_owners.h"
#include "routing/messages.h"

#include <vector>

namespace limpetwood::routing {

class KeyRecorder
{
public:
  enum class State : uint8_t
  {
    kWaiting,
    // A majority of the owners under each set recorded the key for this
    // request.
    kGranted,
    // A majority of the owners under each set replied, and another request
    // holds the key.
    kAlreadyStarted,
    // All owners replied, without a majority for either result.
    kUnknown,
  };

  KeyRecorder(IdempotencyKey aKey,
              KeyHolder aHolder,
              std::vector<std::vector<InstanceId>> aOwnerSets);

  const IdempotencyKey& Key() const { return mKey; }
  const KeyHolder& Holder() const { return mHolder; }

  // The owners under all sets, without duplicates.
  const std::vector<InstanceId>& AllOwners() const { return mAllOwners; }
  bool HasReplied(const InstanceId& aOwner) const;

  // Ignores replies from instances that are not owners, replies for other
  // requests and repeated replies.
  void OnReply(const InstanceId& aFrom, const KeyReply& aReply);

  State CurrentState() const;
  // The recorded verdict of the request that already holds the key. Valid only
  // in the state `kAlreadyStarted`.
  Verdict ExistingVerdict() const { return mExistingVerdict; }

private:
  struct OwnerReply
  {
    InstanceId from{};
    KeyStatus status = KeyStatus::kAbstain;
  };

  IdempotencyKey mKey;
  KeyHolder mHolder;
  std::vector<std::vector<InstanceId>> mOwnerSets;
  std::vector<InstanceId> mAllOwners;
  std::vector<OwnerReply> mReplies;
  Verdict mExistingVerdict = Verdict::kMayHaveRun;
};

} // namespace limpetwood::routing
