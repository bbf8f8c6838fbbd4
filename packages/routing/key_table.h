// In-memory table of the idempotency keys that this instance owns.
//
// After a restart the table is empty, so the owner abstains for the lifetime of
// a key: it states neither that a key is new nor that it is recorded for the
// asking request.

#pragma once

#include "routing/messages.h"
#include "routing/options.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limpetwood::routing {

class KeyTable
{
public:
  explicit KeyTable(const RouterOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  // Records the key unless another holder has it. `aSetsInForce`: ids of the
  // instance sets in force here, oldest first.
  KeyReply Record(const KeyRecord& aRecord,
                  const std::vector<uint64_t>& aSetsInForce,
                  Millis aNow);

  // Ignored unless the key is recorded for this holder.
  void ApplyOutcome(const KeyOutcome& aOutcome);

  // Removes expired keys. Must be called at startup, where the abstention
  // begins, and regularly to bound memory use.
  void Tick(Millis aNow);

  std::size_t Size() const { return mKeys.size(); }
  uint64_t Recorded() const { return mRecorded; }

private:
  struct Entry
  {
    KeyHolder holder{};
    Verdict verdict = Verdict::kMayHaveRun;
    Millis expiresAt{};
  };

  bool Abstains(Millis aNow) const;

  const RouterOptions& mOptions;
  std::optional<Millis> mStartedAt;
  std::unordered_map<IdempotencyKey, Entry> mKeys;
  // Ordered by expiry. May contain keys that have been removed or recorded
  // again.
  std::deque<std::pair<Millis, IdempotencyKey>> mExpiry;
  uint64_t mRecorded = 0;
};

} // namespace limpetwood::routing
