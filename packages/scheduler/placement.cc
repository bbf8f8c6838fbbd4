#include "scheduler/placement.h"

namespace limpetwood::scheduler {

uint32_t
CountFits(int64_t aAccelerators,
          int64_t aCores,
          int64_t aMemoryMb,
          const MemberResources& aNeed)
{
  auto memory = static_cast<int64_t>(aNeed.memoryMb);
  if (aAccelerators < aNeed.accelerators || aCores < aNeed.cores ||
      aMemoryMb < memory) {
    return 0;
  }
  // At most 65536 members, also if they request none of the resources.
  int64_t fits = 1U << 16U;
  if (aNeed.accelerators > 0) {
    fits = std::min<int64_t>(fits, aAccelerators / aNeed.accelerators);
  }
  if (aNeed.cores > 0) {
    fits = std::min<int64_t>(fits, aCores / aNeed.cores);
  }
  if (memory > 0) {
    fits = std::min(fits, aMemoryMb / memory);
  }
  return static_cast<uint32_t>(fits);
}

uint32_t
CountFits(const Worker& aWorker, const MemberResources& aNeed)
{
  if (!aWorker.IsUsable()) {
    return 0;
  }
  uint32_t fits = CountFits(aWorker.FreeAccelerators(),
                            aWorker.FreeCores(),
                            aWorker.FreeMemoryMb(),
                            aNeed);
  if (aWorker.probing) {
    return aWorker.tasks.empty() ? std::min(fits, 1U) : 0;
  }
  return fits;
}

void
RackRunTimeMix::Add(uint32_t aRack, bool aLong, int64_t aAccelerators)
{
  if (aRack >= mUseByRack.size()) {
    mUseByRack.resize(aRack + 1);
  }
  (aLong ? mUseByRack[aRack].ofLong : mUseByRack[aRack].ofShort) +=
    aAccelerators;
}

double
RackRunTimeMix::OtherKindShare(uint32_t aRack, bool aLong) const
{
  if (aRack >= mUseByRack.size()) {
    return 0;
  }
  const AcceleratorsInUse& use = mUseByRack[aRack];
  int64_t total = use.ofLong + use.ofShort;
  if (total <= 0) {
    return 0;
  }
  int64_t other = aLong ? use.ofShort : use.ofLong;
  return static_cast<double>(other) / static_cast<double>(total);
}

double
RackScore(const RackCandidate& aRack,
          const PlacementRequest& aRequest,
          const RackRunTimeMix& aMix,
          const PlacementPolicy& aPolicy)
{
  double total = std::max(1U, aRack.totalAccelerators);
  double freeAfterwards =
    aRack.freeAccelerators -
    static_cast<double>(aRequest.members) * aRequest.need.accelerators;
  double score = aPolicy.packingWeight * freeAfterwards / total;
  bool unused = aRack.freeAccelerators == aRack.totalAccelerators;
  if (unused && freeAfterwards > 0) {
    score += aPolicy.packingWeight;
  }
  return score + aPolicy.separationWeight *
                   aMix.OtherKindShare(aRack.rack, aRequest.longRunning);
}

double
WorkerScore(const Worker& aWorker,
            const PlacementRequest& aRequest,
            uint32_t aMembers,
            const PlacementPolicy& aPolicy)
{
  // Lower is better. Tasks without accelerators should not occupy cores that
  // accelerator tasks need, so for them, workers whose accelerators are in use
  // or absent have a lower score.
  double total = std::max(1U, aWorker.accelerators);
  uint32_t free = aWorker.FreeAccelerators();
  double freeAfterwards =
    free - static_cast<double>(aMembers) * aRequest.need.accelerators;
  double score = aPolicy.packingWeight * freeAfterwards / total;
  if (free == aWorker.accelerators && freeAfterwards > 0) {
    score += aPolicy.packingWeight;
  }
  return score;
}

} // namespace limpetwood::scheduler
