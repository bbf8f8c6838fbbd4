// Selects workers for the members of a gang.
//
// The search takes a function that returns how many members fit on a worker.
// The same code thus places gangs on free capacity, outside guaranteed cells,
// or inside the cells of one workspace.
//
// Small jobs prefer racks and workers that are already partly used, so that
// whole workers and racks stay free. Long and short jobs prefer racks that run
// jobs of the same kind, so that racks of short jobs become free soon.

#pragma once

#include "model/document.h"
#include "scheduler/worker_table.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace limpetwood::scheduler {

struct PlacementRequest
{
  MemberResources need;
  uint32_t members = 1;
  model::TopologyScope topologyScope = model::TopologyScope::kZone;
  bool longRunning = false;
};

// The worker of each member, in member order.
using Placement = std::vector<WorkerIndex>;

template<typename F>
concept FitFunction = std::regular_invocable<F, WorkerIndex> &&
  std::convertible_to<std::invoke_result_t<F, WorkerIndex>, uint32_t>;

// Returns how many members with `aNeed` fit into the given amounts.
uint32_t
CountFits(int64_t aAccelerators,
          int64_t aCores,
          int64_t aMemoryMb,
          const MemberResources& aNeed);

// Returns how many members fit into the free capacity of a worker; 0 if the
// worker is not usable. A worker that is being probed runs at most one task.
uint32_t
CountFits(const Worker& aWorker, const MemberResources& aNeed);

// Tracks the accelerators in use by long and short jobs on each rack.
class RackRunTimeMix
{
public:
  void Add(uint32_t aRack, bool aLong, int64_t aAccelerators);
  // Returns the share of the rack's used accelerators that run jobs of the
  // other kind: short jobs if `aLong`, long jobs otherwise. 0 to 1.
  double OtherKindShare(uint32_t aRack, bool aLong) const;

private:
  struct AcceleratorsInUse
  {
    int64_t ofLong = 0;
    int64_t ofShort = 0;
  };
  std::vector<AcceleratorsInUse> mUseByRack;
};

struct PlacementPolicy
{
  // Weight of avoiding fragmentation of racks and workers. At least 0; 1 when
  // the completion time and fragmentation weights of the policy are equal.
  double packingWeight = 1.0;
  // Weight of placing long and short jobs on different racks. At least 0.
  double separationWeight = 0.0;
};

// A rack considered for a placement. `fits` counts the members that fit.
struct RackCandidate
{
  uint32_t rack = kNoIndex;
  uint32_t fits = 0;
  uint32_t freeAccelerators = 0;
  uint32_t totalAccelerators = 0;
  // The best single worker, for requests that must run on one worker.
  WorkerIndex worker = kNoIndex;
  double workerScore = 0;
};

// Returns the score of a rack for a request; lower is better.
double
RackScore(const RackCandidate& aRack,
          const PlacementRequest& aRequest,
          const RackRunTimeMix& aMix,
          const PlacementPolicy& aPolicy);

// Returns the score of a worker for `aMembers` members; lower is better.
double
WorkerScore(const Worker& aWorker,
            const PlacementRequest& aRequest,
            uint32_t aMembers,
            const PlacementPolicy& aPolicy);

// Appends workers of a rack to `aOut` for at most `aMembers` members: of the
// workers that fit all of them, the one that fits the fewest; if there is none,
// several workers, those that fit the fewest members first. Returns the number
// of members placed. Precondition: `aFit` returns 0 for unusable workers.
template<FitFunction Fit>
uint32_t
FillRack(const WorkerTable& aTable,
         uint32_t aRack,
         uint32_t aMembers,
         Fit aFit,
         Placement& aOut)
{
  std::vector<std::pair<uint32_t, WorkerIndex>> candidates;
  for (WorkerIndex worker : aTable.Racks()[aRack].workers) {
    if (uint32_t fits = aFit(worker); fits > 0) {
      candidates.emplace_back(fits, worker);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  // Prefer a single worker that fits all members.
  auto singleWorker =
    std::lower_bound(candidates.begin(),
                     candidates.end(),
                     std::pair<uint32_t, WorkerIndex>(aMembers, 0));
  if (singleWorker != candidates.end()) {
    aOut.insert(aOut.end(), aMembers, singleWorker->second);
    return aMembers;
  }
  uint32_t placed = 0;
  for (auto [fits, worker] : candidates) {
    uint32_t n = std::min(fits, aMembers - placed);
    aOut.insert(aOut.end(), n, worker);
    placed += n;
  }
  return placed;
}

// Evaluates a rack as a candidate for `aRequest`.
template<FitFunction Fit>
RackCandidate
ExamineRack(const WorkerTable& aTable,
            uint32_t aRack,
            const PlacementRequest& aRequest,
            const PlacementPolicy& aPolicy,
            Fit aFit)
{
  RackCandidate out;
  out.rack = aRack;
  bool single = aRequest.members == 1 ||
                aRequest.topologyScope == model::TopologyScope::kWorker;
  for (WorkerIndex index : aTable.Racks()[aRack].workers) {
    const Worker& worker = aTable.At(index);
    if (!worker.IsUsable()) {
      continue;
    }
    out.freeAccelerators += worker.FreeAccelerators();
    out.totalAccelerators += worker.accelerators;
    uint32_t fits = aFit(index);
    out.fits += fits;
    if (single && fits >= aRequest.members) {
      double score = WorkerScore(worker, aRequest, aRequest.members, aPolicy);
      if (out.worker == kNoIndex || score < out.workerScore) {
        out.worker = index;
        out.workerScore = score;
      }
    }
  }
  return out;
}

// Returns workers for all members, or nothing if they do not fit. All members
// of a gang are placed within one zone. Precondition: `aFit` returns 0 for
// workers that are not usable.
template<FitFunction Fit>
std::optional<Placement>
FindPlacement(const WorkerTable& aTable,
              const PlacementRequest& aRequest,
              const RackRunTimeMix& aMix,
              const PlacementPolicy& aPolicy,
              Fit aFit)
{
  bool single = aRequest.members == 1 ||
                aRequest.topologyScope == model::TopologyScope::kWorker;
  std::vector<RackCandidate> rackCandidates;
  std::optional<RackCandidate> best;
  double bestScore = 0;
  for (uint32_t i = 0; i < aTable.Racks().size(); ++i) {
    RackCandidate rack = ExamineRack(aTable, i, aRequest, aPolicy, aFit);
    if (rack.fits == 0) {
      continue;
    }
    if (!single && aRequest.topologyScope == model::TopologyScope::kZone) {
      rackCandidates.push_back(rack);
      continue;
    }
    bool fitsAll =
      single ? rack.worker != kNoIndex : rack.fits >= aRequest.members;
    if (!fitsAll) {
      continue;
    }
    double score = RackScore(rack, aRequest, aMix, aPolicy) + rack.workerScore;
    if (!best || score < bestScore) {
      best = rack;
      bestScore = score;
    }
  }
  Placement out;
  out.reserve(aRequest.members);
  if (best) {
    if (single) {
      out.assign(aRequest.members, best->worker);
    } else {
      FillRack(aTable, best->rack, aRequest.members, aFit, out);
    }
    return out;
  }
  // For topology scope `kZone`, fill the racks with the least free capacity
  // first, which keeps whole racks free for jobs that require one.
  std::sort(rackCandidates.begin(),
            rackCandidates.end(),
            [](const auto& x, const auto& y) {
              return x.freeAccelerators < y.freeAccelerators;
            });
  std::vector<uint32_t> fits(aTable.Zones().size());
  for (const RackCandidate& rack : rackCandidates) {
    fits[aTable.Racks()[rack.rack].zone] += rack.fits;
  }
  uint32_t zone = kNoIndex;
  for (uint32_t i = 0; i < fits.size(); ++i) {
    if (fits[i] >= aRequest.members &&
        (zone == kNoIndex || fits[i] < fits[zone])) {
      zone = i;
    }
  }
  if (zone == kNoIndex) {
    return std::nullopt;
  }
  // Prefer a single rack that fits all members: the members are closer together
  // and fewer racks are fragmented.
  for (const RackCandidate& rack : rackCandidates) {
    if (aTable.Racks()[rack.rack].zone == zone &&
        rack.fits >= aRequest.members) {
      FillRack(aTable, rack.rack, aRequest.members, aFit, out);
      return out;
    }
  }
  uint32_t remaining = aRequest.members;
  for (const RackCandidate& rack : rackCandidates) {
    if (remaining > 0 && aTable.Racks()[rack.rack].zone == zone) {
      remaining -= FillRack(aTable, rack.rack, remaining, aFit, out);
    }
  }
  return out;
}

} // namespace limpetwood::scheduler
