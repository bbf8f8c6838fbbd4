#include "scheduler/worker_table.h"

#include <algorithm>

namespace limpetwood::scheduler {

AcceleratorMask
LowestBits(AcceleratorMask aMask, uint32_t aCount)
{
  AcceleratorMask out = 0;
  for (uint32_t i = 0; i < aCount && aMask != 0; ++i) {
    AcceleratorMask low = aMask & (~aMask + 1);
    out |= low;
    aMask ^= low;
  }
  return out;
}

std::vector<uint32_t>
MaskToIndices(AcceleratorMask aMask)
{
  std::vector<uint32_t> out;
  out.reserve(CountBits(aMask));
  for (; aMask != 0; aMask &= aMask - 1) {
    out.push_back(static_cast<uint32_t>(std::countr_zero(aMask)));
  }
  return out;
}

uint32_t
WorkerTable::ZoneIndex(const ZoneId& aId)
{
  uint32_t found = FindZone(aId);
  if (found != kNoIndex) {
    return found;
  }
  mZones.push_back(aId);
  return static_cast<uint32_t>(mZones.size() - 1);
}

uint32_t
WorkerTable::FindZone(const ZoneId& aId) const
{
  auto it = std::find(mZones.begin(), mZones.end(), aId);
  return it == mZones.end() ? kNoIndex
                            : static_cast<uint32_t>(it - mZones.begin());
}

uint32_t
WorkerTable::RackIndex(uint32_t aZone, const RackId& aId)
{
  std::string key = std::to_string(aZone) + "/" + aId.Value();
  auto [it, added] =
    mRackByKey.emplace(std::move(key), static_cast<uint32_t>(mRacks.size()));
  if (added) {
    mRacks.push_back({ aId, aZone, {} });
  }
  return it->second;
}

WorkerIndex
WorkerTable::Announce(const WorkerAnnounced& aEvent)
{
  auto [it, added] =
    mIndexById.emplace(aEvent.worker, static_cast<WorkerIndex>(Size()));
  WorkerIndex index = it->second;
  if (added) {
    mWorkers.emplace_back();
    mWorkers.back().id = aEvent.worker;
  }
  Worker& worker = mWorkers[index];
  uint32_t zone = ZoneIndex(aEvent.zone);
  uint32_t rack = RackIndex(zone, aEvent.rack);
  if (worker.rack != rack) {
    if (worker.rack != kNoIndex) {
      std::erase(mRacks[worker.rack].workers, index);
    }
    mRacks[rack].workers.push_back(index);
  }
  worker.zone = zone;
  worker.rack = rack;
  worker.address = aEvent.address;
  worker.incarnation = aEvent.incarnation;
  worker.cores = aEvent.cores;
  worker.memoryMb = aEvent.memoryMb;
  worker.accelerators = std::min(aEvent.accelerators.Value(), kMaxAccelerators);
  worker.alive = true;
  return index;
}

WorkerIndex
WorkerTable::Find(const WorkerId& aId) const
{
  auto it = mIndexById.find(aId);
  return it == mIndexById.end() ? kNoIndex : it->second;
}

void
WorkerTable::SetAlive(WorkerIndex aIndex, bool aAlive)
{
  mWorkers[aIndex].alive = aAlive;
}

void
WorkerTable::SetQuarantine(WorkerIndex aIndex, bool aQuarantined, bool aProbing)
{
  mWorkers[aIndex].quarantined = aQuarantined;
  mWorkers[aIndex].probing = aProbing;
}

void
WorkerTable::AdjustUnassignedTasks(WorkerIndex aIndex, int32_t aDelta)
{
  mWorkers[aIndex].unassignedTasks += static_cast<uint32_t>(aDelta);
}

void
WorkerTable::SetCpuUsage(WorkerIndex aIndex, double aCpuUsage)
{
  mWorkers[aIndex].cpuUsage = static_cast<float>(aCpuUsage);
}

void
WorkerTable::Allocate(WorkerIndex aIndex,
                      const MemberResources& aNeed,
                      AcceleratorMask aMask,
                      TaskRef aTask,
                      bool aWasClaimed)
{
  if (aWasClaimed) {
    Unclaim(aIndex, aNeed, aMask);
  }
  Worker& worker = mWorkers[aIndex];
  worker.coresUsed += aNeed.cores;
  worker.memoryMbUsed += static_cast<int64_t>(aNeed.memoryMb);
  worker.busyAccelerators |= aMask;
  worker.tasks.push_back(aTask);
}

void
WorkerTable::Release(WorkerIndex aIndex,
                     const MemberResources& aNeed,
                     AcceleratorMask aMask,
                     TaskRef aTask)
{
  Worker& worker = mWorkers[aIndex];
  worker.coresUsed -= aNeed.cores;
  worker.memoryMbUsed -= static_cast<int64_t>(aNeed.memoryMb);
  worker.busyAccelerators &= ~aMask;
  auto it = std::find(worker.tasks.begin(), worker.tasks.end(), aTask);
  if (it != worker.tasks.end()) {
    *it = worker.tasks.back();
    worker.tasks.pop_back();
  }
}

void
WorkerTable::Claim(WorkerIndex aIndex,
                   const MemberResources& aNeed,
                   AcceleratorMask aMask)
{
  Worker& worker = mWorkers[aIndex];
  worker.coresClaimed += aNeed.cores;
  worker.memoryMbClaimed += static_cast<int64_t>(aNeed.memoryMb);
  worker.claimedAccelerators |= aMask;
}

void
WorkerTable::Unclaim(WorkerIndex aIndex,
                     const MemberResources& aNeed,
                     AcceleratorMask aMask)
{
  Worker& worker = mWorkers[aIndex];
  worker.coresClaimed -= aNeed.cores;
  worker.memoryMbClaimed -= static_cast<int64_t>(aNeed.memoryMb);
  worker.claimedAccelerators &= ~aMask;
}

bool
WorkerTable::CanAllocateClaim(WorkerIndex aIndex,
                              const MemberResources& aNeed,
                              AcceleratorMask aMask) const
{
  const Worker& worker = mWorkers[aIndex];
  return worker.alive && (worker.busyAccelerators & aMask) == 0 &&
         worker.coresUsed + aNeed.cores <= worker.cores &&
         worker.memoryMbUsed + static_cast<int64_t>(aNeed.memoryMb) <=
           static_cast<int64_t>(worker.memoryMb);
}

} // namespace limpetwood::scheduler
