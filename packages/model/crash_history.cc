#include "model/crash_history.h"

#include <algorithm>
#include <map>
#include <set>

namespace limpetwood::model {

bool
CrashHistory::Add(WorkerCrash aCrash)
{
  bool known =
    std::any_of(mCrashes.begin(), mCrashes.end(), [&](const WorkerCrash& it) {
      return it.attempt == aCrash.attempt && it.member == aCrash.member;
    });
  if (known || aCrash.attempt < mSoundAttempt) {
    return false;
  }
  mCrashes.push_back(std::move(aCrash));
  return true;
}

bool
CrashHistory::ClearBefore(Attempt aAttempt)
{
  if (aAttempt <= mSoundAttempt) {
    return false;
  }
  mSoundAttempt = aAttempt;
  std::erase_if(mCrashes, [&](const WorkerCrash& it) {
    return it.attempt < mSoundAttempt;
  });
  return true;
}

bool
CrashHistory::Reaches(const CrashLimits& aLimits) const
{
  struct MemberCrashes
  {
    std::set<WorkerId> aloneAfterStart;
    std::set<WorkerId> afterStart;
    uint32_t total = 0;
  };
  std::map<MemberIndex, MemberCrashes> members;
  for (const WorkerCrash& it : mCrashes) {
    MemberCrashes& member = members[it.member];
    ++member.total;
    if (it.afterStart) {
      member.afterStart.insert(it.worker);
    }
    if (it.afterStart && it.alone) {
      member.aloneAfterStart.insert(it.worker);
    }
  }
  return std::any_of(members.begin(), members.end(), [&](const auto& it) {
    const MemberCrashes& member = it.second;
    return member.aloneAfterStart.size() >= aLimits.aloneAfterStart ||
           member.afterStart.size() >= aLimits.afterStart ||
           member.total >= aLimits.total;
  });
}

} // namespace limpetwood::model
