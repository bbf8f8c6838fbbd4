#include "routing/key_table.h"

#include <algorithm>

namespace limpetwood::routing {

bool
KeyTable::Abstains(Millis aNow) const
{
  if (mOptions.freshDeployment || mOptions.testOnly.skipAbstention) {
    return false;
  }
  return !mStartedAt || aNow < *mStartedAt + mOptions.keyLifetime;
}

KeyReply
KeyTable::Record(const KeyRecord& aRecord,
                 const std::vector<uint64_t>& aSetsInForce,
                 Millis aNow)
{
  Tick(aNow);
  KeyReply reply;
  reply.key = aRecord.key;
  reply.holder = aRecord.holder;
  // A sender that does not know the oldest set in force here has not asked the
  // owners under that set, which may have an earlier record.
  bool knowsOldest =
    !aSetsInForce.empty() &&
    std::find(aRecord.sets.begin(), aRecord.sets.end(), aSetsInForce.front()) !=
      aRecord.sets.end();
  auto found = mKeys.find(aRecord.key);
  if (found != mKeys.end()) {
    // A record of another holder is reliable even while abstaining.
    bool same = found->second.holder == aRecord.holder;
    reply.status = same ? KeyStatus::kRecorded : KeyStatus::kAlreadyStarted;
    reply.verdict = found->second.verdict;
    if (same && (Abstains(aNow) || !knowsOldest)) {
      reply.status = KeyStatus::kAbstain;
    }
    return reply;
  }
  // Abstains (the default status of a reply) if an earlier record may be
  // unknown here or the table is full.
  if (!knowsOldest || mKeys.size() >= mOptions.maxKeys) {
    return reply;
  }
  // Keys are recorded while abstaining as well, so that this owner can answer
  // for them when its abstention ends.
  Millis expiresAt = aNow + mOptions.keyLifetime;
  mKeys[aRecord.key] = Entry{ aRecord.holder, Verdict::kMayHaveRun, expiresAt };
  mExpiry.emplace_back(expiresAt, aRecord.key);
  ++mRecorded;
  reply.status = Abstains(aNow) ? KeyStatus::kAbstain : KeyStatus::kRecorded;
  return reply;
}

void
KeyTable::ApplyOutcome(const KeyOutcome& aOutcome)
{
  auto found = mKeys.find(aOutcome.key);
  if (found == mKeys.end() || found->second.holder != aOutcome.holder) {
    return;
  }
  if (aOutcome.verdict == Verdict::kNotRun) {
    mKeys.erase(found);
  } else {
    found->second.verdict = aOutcome.verdict;
  }
}

void
KeyTable::Tick(Millis aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
  }
  while (!mExpiry.empty() && mExpiry.front().first <= aNow) {
    auto found = mKeys.find(mExpiry.front().second);
    if (found != mKeys.end() && found->second.expiresAt <= aNow) {
      mKeys.erase(found);
    }
    mExpiry.pop_front();
  }
}

} // namespace limpetwood::routing
