// Tracks workers, their racks and zones, and the capacity in use.
//
// Capacity is free, used by a task, or claimed for a gang that waits for its
// victims to stop. Claimed accelerators may still be used by a victim. Cores
// and memory are tracked as amounts, so the free amount is negative while a
// victim has not stopped yet.
//
// Invariants: used cores, memory and accelerators never exceed those of the
// worker; an accelerator is claimed by at most one member.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "scheduler/event.h"

#include <bit>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetwood::scheduler {

using WorkerIndex = uint32_t;
using JobSlot = uint32_t;
// One bit per accelerator; a worker has at most 64.
using AcceleratorMask = uint64_t;

constexpr uint32_t kNoIndex = UINT32_MAX;
constexpr uint32_t kMaxAccelerators = 64;

inline uint32_t
CountBits(AcceleratorMask aMask)
{
  return static_cast<uint32_t>(std::popcount(aMask));
}

// Returns the lowest `aCount` set bits of `aMask`.
AcceleratorMask
LowestBits(AcceleratorMask aMask, uint32_t aCount);

std::vector<uint32_t>
MaskToIndices(AcceleratorMask aMask);

// Resources that one member of a gang needs on its worker.
struct MemberResources
{
  uint32_t cores = 0;
  uint32_t accelerators = 0;
  uint64_t memoryMb = 0;

  auto operator<=>(const MemberResources&) const = default;
};

struct TaskRef
{
  JobSlot job = kNoIndex;
  uint32_t member = 0;

  bool operator==(const TaskRef&) const = default;
};

struct Worker
{
  WorkerId id;
  std::string address;
  Incarnation incarnation;
  uint32_t zone = kNoIndex;
  uint32_t rack = kNoIndex;
  uint32_t cores = 0;
  uint32_t accelerators = 0;
  uint64_t memoryMb = 0;
  // In use by tasks.
  int64_t coresUsed = 0;
  int64_t memoryMbUsed = 0;
  AcceleratorMask busyAccelerators = 0;
  // Claimed by gangs that wait for their victims to stop.
  int64_t coresClaimed = 0;
  int64_t memoryMbClaimed = 0;
  AcceleratorMask claimedAccelerators = 0;
  bool alive = false;
  bool quarantined = false;
  // Released from quarantine with a limit of one task, which serves as a probe.
  bool probing = false;
  // Share of the cores in use, 0 to 1.
  float cpuUsage = 0;
  // Tasks reported before their job was assigned. Their use of cores and memory
  // is unknown, so the worker receives no new tasks.
  uint32_t unassignedTasks = 0;
  std::vector<TaskRef> tasks;

  AcceleratorMask AllAccelerators() const
  {
    return accelerators >= kMaxAccelerators
             ? ~AcceleratorMask(0)
             : (AcceleratorMask(1) << accelerators) - 1;
  }
  AcceleratorMask FreeMask() const
  {
    return AllAccelerators() & ~(busyAccelerators | claimedAccelerators);
  }
  uint32_t FreeAccelerators() const { return CountBits(FreeMask()); }
  int64_t FreeCores() const { return cores - coresUsed - coresClaimed; }
  int64_t FreeMemoryMb() const
  {
    return static_cast<int64_t>(memoryMb) - memoryMbUsed - memoryMbClaimed;
  }
  // True if the worker may receive new tasks.
  bool IsUsable() const
  {
    return alive && !quarantined && unassignedTasks == 0;
  }
};

struct RackEntry
{
  RackId id;
  uint32_t zone = kNoIndex;
  std::vector<WorkerIndex> workers;
};

class WorkerTable
{
public:
  // Adds a worker or updates its description, and marks it as alive.
  WorkerIndex Announce(const WorkerAnnounced& aEvent);

  // Returns `kNoIndex` if the worker was never announced.
  WorkerIndex Find(const WorkerId& aId) const;
  // Returns `kNoIndex` if no worker of the zone was announced.
  uint32_t FindZone(const ZoneId& aId) const;

  const Worker& At(WorkerIndex aIndex) const { return mWorkers[aIndex]; }
  const std::vector<Worker>& All() const { return mWorkers; }
  const std::vector<RackEntry>& Racks() const { return mRacks; }
  const std::vector<ZoneId>& Zones() const { return mZones; }
  uint32_t Size() const { return static_cast<uint32_t>(mWorkers.size()); }

  void SetAlive(WorkerIndex aIndex, bool aAlive);
  void SetQuarantine(WorkerIndex aIndex, bool aQuarantined, bool aProbing);
  void AdjustUnassignedTasks(WorkerIndex aIndex, int32_t aDelta);
  void SetCpuUsage(WorkerIndex aIndex, double aCpuUsage);

  // Marks capacity as used by a task. `aWasClaimed` is true if the capacity was
  // claimed for the task before.
  void Allocate(WorkerIndex aIndex,
                const MemberResources& aNeed,
                AcceleratorMask aMask,
                TaskRef aTask,
                bool aWasClaimed);
  void Release(WorkerIndex aIndex,
               const MemberResources& aNeed,
               AcceleratorMask aMask,
               TaskRef aTask);
  void Claim(WorkerIndex aIndex,
             const MemberResources& aNeed,
             AcceleratorMask aMask);
  void Unclaim(WorkerIndex aIndex,
               const MemberResources& aNeed,
               AcceleratorMask aMask);

  // Returns true if the claimed capacity of a member is free for use.
  bool CanAllocateClaim(WorkerIndex aIndex,
                        const MemberResources& aNeed,
                        AcceleratorMask aMask) const;

private:
  uint32_t ZoneIndex(const ZoneId& aId);
  uint32_t RackIndex(uint32_t aZone, const RackId& aId);

  std::vector<Worker> mWorkers;
  std::vector<RackEntry> mRacks;
  std::vector<ZoneId> mZones;
  std::unordered_map<WorkerId, WorkerIndex> mIndexById;
  std::unordered_map<std::string, uint32_t> mRackByKey;
};

} // namespace limpetwood::scheduler
