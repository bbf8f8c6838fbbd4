#include "scheduler/guarantees.h"

#include <algorithm>
#include <numeric>

namespace limpetwood::scheduler {

using model::TopologyScope;

std::vector<CellPart>
AcceleratorsByWorker(const Placement& aPlacement, uint32_t aPerMember)
{
  std::vector<CellPart> cover;
  for (WorkerIndex worker : aPlacement) {
    auto same =
      std::find_if(cover.begin(), cover.end(), [&](const CellPart& it) {
        return it.worker == worker;
      });
    if (same != cover.end()) {
      same->count += aPerMember;
    } else {
      cover.push_back({ worker, aPerMember });
    }
  }
  return cover;
}

Guarantees::Guarantees(GuaranteeMode aMode)
  : mMode(aMode)
{
}

void
Guarantees::Configure(std::vector<Cell> aCells)
{
  for (Cell& cell : aCells) {
    for (Cell& old : mCells) {
      if (old.IsBound() && old.workspace == cell.workspace &&
          old.zone == cell.zone && old.shape == cell.shape) {
        cell.parts = std::move(old.parts);
        old.parts.clear();
        break;
      }
    }
  }
  for (std::size_t i = 0; i < mCells.size(); ++i) {
    if (mCells[i].IsBound()) {
      Unbind(i);
    }
  }
  mCells = std::move(aCells);
  mUnbound = static_cast<uint32_t>(
    std::count_if(mCells.begin(), mCells.end(), [](const Cell& it) {
      return !it.IsBound();
    }));
}

void
Guarantees::UnbindWorker(WorkerIndex aWorker)
{
  for (std::size_t i = 0; i < mCells.size(); ++i) {
    const std::vector<CellPart>& parts = mCells[i].parts;
    if (std::any_of(parts.begin(), parts.end(), [&](const CellPart& it) {
          return it.worker == aWorker;
        })) {
      Unbind(i);
    }
  }
}

Guarantees::WorkspaceUse&
Guarantees::EntryFor(uint32_t aWorkspace, WorkerIndex aWorker)
{
  if (aWorker >= mUseByWorker.size()) {
    mUseByWorker.resize(aWorker + 1);
  }
  std::vector<WorkspaceUse>& entries = mUseByWorker[aWorker];
  for (WorkspaceUse& it : entries) {
    if (it.workspace == aWorkspace) {
      return it;
    }
  }
  entries.push_back({ aWorkspace, 0, 0 });
  return entries.back();
}

const Guarantees::WorkspaceUse*
Guarantees::FindEntry(uint32_t aWorkspace, WorkerIndex aWorker) const
{
  if (aWorker >= mUseByWorker.size()) {
    return nullptr;
  }
  for (const WorkspaceUse& it : mUseByWorker[aWorker]) {
    if (it.workspace == aWorkspace) {
      return &it;
    }
  }
  return nullptr;
}

void
Guarantees::Bind(std::size_t aCell, std::vector<CellPart> aParts)
{
  Cell& cell = mCells[aCell];
  for (const CellPart& it : aParts) {
    EntryFor(cell.workspace, it.worker).reserved += it.count;
  }
  cell.parts = std::move(aParts);
  --mUnbound;
}

void
Guarantees::Unbind(std::size_t aCell)
{
  Cell& cell = mCells[aCell];
  for (const CellPart& it : cell.parts) {
    EntryFor(cell.workspace, it.worker).reserved -= it.count;
  }
  cell.parts.clear();
  ++mUnbound;
}

uint32_t
Guarantees::GuaranteedAccelerators(uint32_t aWorkspace) const
{
  uint32_t total = 0;
  for (const Cell& it : mCells) {
    if (it.workspace == aWorkspace) {
      total += it.shape.accelerators.Value();
    }
  }
  return total;
}

uint32_t
Guarantees::Reserved(WorkerIndex aWorker) const
{
  uint32_t total = 0;
  if (aWorker < mUseByWorker.size()) {
    for (const WorkspaceUse& it : mUseByWorker[aWorker]) {
      total += it.reserved;
    }
  }
  return total;
}

uint32_t
Guarantees::Reserved(uint32_t aWorkspace, WorkerIndex aWorker) const
{
  const WorkspaceUse* entry = FindEntry(aWorkspace, aWorker);
  return entry == nullptr ? 0 : entry->reserved;
}

uint32_t
Guarantees::Used(uint32_t aWorkspace, WorkerIndex aWorker) const
{
  const WorkspaceUse* entry = FindEntry(aWorkspace, aWorker);
  return entry == nullptr ? 0 : entry->used;
}

uint32_t
Guarantees::UsedByWorkspace(uint32_t aWorkspace) const
{
  return aWorkspace < mUsedByWorkspace.size() ? mUsedByWorkspace[aWorkspace]
                                              : 0;
}

uint32_t
Guarantees::Used(WorkerIndex aWorker) const
{
  uint32_t total = 0;
  if (aWorker < mUseByWorker.size()) {
    for (const WorkspaceUse& it : mUseByWorker[aWorker]) {
      total += it.used;
    }
  }
  return total;
}

uint32_t
Guarantees::AvailableAccelerators(uint32_t aWorkspace,
                                  WorkerIndex aWorker) const
{
  const WorkspaceUse* entry = FindEntry(aWorkspace, aWorker);
  return entry == nullptr || entry->used >= entry->reserved
           ? 0
           : entry->reserved - entry->used;
}

void
Guarantees::AddUse(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount)
{
  EntryFor(aWorkspace, aWorker).used += aCount;
  if (aWorkspace >= mUsedByWorkspace.size()) {
    mUsedByWorkspace.resize(aWorkspace + 1);
  }
  mUsedByWorkspace[aWorkspace] += aCount;
}

void
Guarantees::RemoveUse(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount)
{
  EntryFor(aWorkspace, aWorker).used -= aCount;
  mUsedByWorkspace[aWorkspace] -= aCount;
}

bool
Guarantees::IsMovable(std::size_t aCell) const
{
  const Cell& cell = mCells[aCell];
  return std::all_of(
    cell.parts.begin(), cell.parts.end(), [&](const CellPart& it) {
      return Reserved(cell.workspace, it.worker) - it.count >=
             Used(cell.workspace, it.worker);
    });
}

uint32_t
Guarantees::Unreserved(const Worker& aWorker,
                       WorkerIndex aIndex,
                       std::size_t aExcludedCell) const
{
  if (!aWorker.IsUsable()) {
    return 0;
  }
  uint32_t reserved = Reserved(aIndex);
  if (aExcludedCell < mCells.size()) {
    for (const CellPart& it : mCells[aExcludedCell].parts) {
      reserved -= it.worker == aIndex ? it.count : 0;
    }
  }
  return reserved >= aWorker.accelerators ? 0 : aWorker.accelerators - reserved;
}

uint32_t
Guarantees::CellSize(const WorkerTable& aTable, const Cell& aCell) const
{
  uint32_t required = aCell.shape.accelerators.Value();
  if (mMode != GuaranteeMode::kBuddyCells) {
    return required;
  }
  uint32_t perWorker = 1;
  for (const Worker& it : aTable.All()) {
    perWorker = std::max(perWorker, it.accelerators);
  }
  if (required <= perWorker) {
    return std::bit_ceil(required);
  }
  return std::bit_ceil((required + perWorker - 1) / perWorker) * perWorker;
}

// Completes `aParts` with accelerators of `aWorkers`. Whole workers are taken
// first, so that gangs whose members use a whole worker fit into the cell. The
// remainder comes from the worker with the least sufficient capacity. Returns
// an empty vector if the workers do not have enough unreserved accelerators.
std::vector<CellPart>
Guarantees::CompleteParts(const WorkerTable& aTable,
                          const std::vector<WorkerIndex>& aWorkers,
                          std::size_t aCell,
                          std::vector<CellPart> aParts) const
{
  uint32_t remaining = CellSize(aTable, mCells[aCell]);
  std::vector<std::pair<uint32_t, WorkerIndex>> availableByWorker;
  for (WorkerIndex index : aWorkers) {
    uint32_t available = Unreserved(aTable.At(index), index, aCell);
    for (const CellPart& it : aParts) {
      if (it.worker == index) {
        available -= std::min(available, it.count);
      }
    }
    if (available > 0) {
      availableByWorker.emplace_back(available, index);
    }
  }
  for (const CellPart& it : aParts) {
    remaining -= std::min(remaining, it.count);
  }
  std::sort(availableByWorker.begin(), availableByWorker.end());
  while (remaining > 0 && !availableByWorker.empty()) {
    auto pick =
      std::lower_bound(availableByWorker.begin(),
                       availableByWorker.end(),
                       std::pair<uint32_t, WorkerIndex>(remaining, 0));
    if (pick == availableByWorker.end()) {
      --pick;
    }
    uint32_t count = std::min(remaining, pick->first);
    auto same =
      std::find_if(aParts.begin(), aParts.end(), [&](const CellPart& it) {
        return it.worker == pick->second;
      });
    if (same != aParts.end()) {
      same->count += count;
    } else {
      aParts.push_back({ pick->second, count });
    }
    remaining -= count;
    availableByWorker.erase(pick);
  }
  if (remaining > 0) {
    aParts.clear();
  }
  return aParts;
}

std::vector<CellPart>
Guarantees::FindParts(const WorkerTable& aTable, std::size_t aCell) const
{
  const Cell& cell = mCells[aCell];
  uint32_t zone = aTable.FindZone(cell.zone);
  uint32_t size = CellSize(aTable, cell);
  if (zone == kNoIndex) {
    return {};
  }
  if (cell.shape.topologyScope == TopologyScope::kZone) {
    std::vector<WorkerIndex> workers;
    for (const RackEntry& rack : aTable.Racks()) {
      if (rack.zone == zone) {
        workers.insert(workers.end(), rack.workers.begin(), rack.workers.end());
      }
    }
    return CompleteParts(aTable, workers, aCell, {});
  }
  // Choose the smallest sufficient domain, so that larger cells still fit.
  std::vector<WorkerIndex> best;
  uint32_t bestKey = UINT32_MAX;
  for (const RackEntry& rack : aTable.Racks()) {
    if (rack.zone != zone) {
      continue;
    }
    uint32_t rackAvailable = 0;
    for (WorkerIndex it : rack.workers) {
      rackAvailable += Unreserved(aTable.At(it), it, aCell);
    }
    if (cell.shape.topologyScope == TopologyScope::kRack) {
      if (rackAvailable >= size && rackAvailable < bestKey) {
        bestKey = rackAvailable;
        best = rack.workers;
      }
      continue;
    }
    for (WorkerIndex it : rack.workers) {
      uint32_t available = Unreserved(aTable.At(it), it, aCell);
      // Order by the worker's unreserved accelerators, then by the rack's,
      // which count up to 1023 only, so that both fit into one number.
      uint32_t key = available * 1024 + std::min(rackAvailable, 1023U);
      if (available >= size && key < bestKey) {
        bestKey = key;
        best = { it };
      }
    }
  }
  return best.empty() ? std::vector<CellPart>()
                      : CompleteParts(aTable, best, aCell, {});
}

bool
Guarantees::BindLargestFirst(const WorkerTable& aTable)
{
  std::vector<std::size_t> order(mCells.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](auto x, auto y) {
    return mCells[x].shape.accelerators > mCells[y].shape.accelerators;
  });
  bool allBound = true;
  for (std::size_t i : order) {
    if (mCells[i].IsBound()) {
      continue;
    }
    std::vector<CellPart> parts = FindParts(aTable, i);
    if (parts.empty()) {
      allBound = false;
    } else {
      Bind(i, std::move(parts));
    }
  }
  return allBound;
}

bool
Guarantees::BindUnbound(const WorkerTable& aTable)
{
  if (mUnbound == 0 || BindLargestFirst(aTable)) {
    return true;
  }
  // Rebind all movable cells. If fewer cells can be bound, restore the previous
  // bindings.
  uint32_t unbound = mUnbound;
  std::vector<std::vector<CellPart>> old;
  old.reserve(mCells.size());
  for (std::size_t i = 0; i < mCells.size(); ++i) {
    old.push_back(mCells[i].parts);
    if (mCells[i].IsBound() && IsMovable(i)) {
      Unbind(i);
    }
  }
  if (BindLargestFirst(aTable)) {
    return true;
  }
  if (mUnbound > unbound) {
    for (std::size_t i = 0; i < mCells.size(); ++i) {
      if (mCells[i].IsBound()) {
        Unbind(i);
      }
    }
    for (std::size_t i = 0; i < mCells.size(); ++i) {
      if (!old[i].empty()) {
        Bind(i, std::move(old[i]));
      }
    }
  }
  return false;
}

uint32_t
Guarantees::MissingAccelerators(const WorkerTable& aTable,
                                const Cell& aCell) const
{
  uint32_t zone = aTable.FindZone(aCell.zone);
  uint32_t best = 0;
  uint32_t sum = 0;
  for (const RackEntry& rack : aTable.Racks()) {
    if (rack.zone != zone || zone == kNoIndex) {
      continue;
    }
    uint32_t rackAvailable = 0;
    for (WorkerIndex it : rack.workers) {
      uint32_t available = Unreserved(aTable.At(it), it);
      rackAvailable += available;
      if (aCell.shape.topologyScope == TopologyScope::kWorker) {
        best = std::max(best, available);
      }
    }
    sum += rackAvailable;
    if (aCell.shape.topologyScope == TopologyScope::kRack) {
      best = std::max(best, rackAvailable);
    }
  }
  best = aCell.shape.topologyScope == TopologyScope::kZone ? sum : best;
  uint32_t required = CellSize(aTable, aCell);
  return best >= required ? 0 : required - best;
}

bool
Guarantees::MoveToCover(const WorkerTable& aTable,
                        std::size_t aCell,
                        const std::vector<CellPart>& aCover)
{
  Cell& cell = mCells[aCell];
  std::vector<CellPart> cover;
  std::vector<WorkerIndex> workers;
  uint32_t total = 0;
  uint32_t zone = kNoIndex;
  uint32_t rack = kNoIndex;
  for (const CellPart& it : aCover) {
    const Worker& worker = aTable.At(it.worker);
    if (Unreserved(worker, it.worker, aCell) < it.count) {
      return false;
    }
    bool sameZone = zone == kNoIndex || worker.zone == zone;
    bool sameRack = rack == kNoIndex || worker.rack == rack;
    if (!sameZone ||
        (!sameRack && cell.shape.topologyScope != TopologyScope::kZone)) {
      return false;
    }
    zone = worker.zone;
    rack = worker.rack;
    total += it.count;
    cover.push_back(it);
  }
  if (total > CellSize(aTable, cell) || zone != aTable.FindZone(cell.zone)) {
    return false;
  }
  switch (cell.shape.topologyScope) {
    case TopologyScope::kWorker:
      if (cover.size() != 1) {
        return false;
      }
      workers = { cover.front().worker };
      break;
    case TopologyScope::kRack:
      workers = aTable.Racks()[rack].workers;
      break;
    case TopologyScope::kZone:
      for (const RackEntry& it : aTable.Racks()) {
        if (it.zone == zone) {
          workers.insert(workers.end(), it.workers.begin(), it.workers.end());
        }
      }
      break;
  }
  std::vector<CellPart> parts = CompleteParts(aTable, workers, aCell, cover);
  if (parts.empty()) {
    return false;
  }
  if (cell.IsBound()) {
    Unbind(aCell);
  }
  Bind(aCell, std::move(parts));
  return true;
}

std::vector<std::string>
Guarantees::CheckInvariants(const WorkerTable& aTable) const
{
  std::vector<std::string> out;
  std::vector<uint32_t> sums(aTable.Size());
  for (const Cell& cell : mCells) {
    uint32_t total = 0;
    uint32_t rack = kNoIndex;
    uint32_t worker = kNoIndex;
    bool withinDomain = true;
    for (const CellPart& it : cell.parts) {
      const Worker& partWorker = aTable.At(it.worker);
      sums[it.worker] += it.count;
      total += it.count;
      withinDomain =
        withinDomain && aTable.Zones()[partWorker.zone] == cell.zone;
      if (cell.shape.topologyScope != TopologyScope::kZone) {
        withinDomain =
          withinDomain && (rack == kNoIndex || rack == partWorker.rack);
      }
      if (cell.shape.topologyScope == TopologyScope::kWorker) {
        withinDomain =
          withinDomain && (worker == kNoIndex || worker == it.worker);
      }
      rack = partWorker.rack;
      worker = it.worker;
      if (!partWorker.alive) {
        out.push_back("guarantee on a worker without a lease: " +
                      partWorker.id.Value());
      }
    }
    if (cell.IsBound() && (total != CellSize(aTable, cell) || !withinDomain)) {
      out.emplace_back("cell has the wrong size or lies outside its domain");
    }
  }
  for (WorkerIndex i = 0; i < aTable.Size(); ++i) {
    if (sums[i] > aTable.At(i).accelerators) {
      out.push_back("reserved accelerators exceed those of worker " +
                    aTable.At(i).id.Value());
    }
    if (i >= mUseByWorker.size()) {
      continue;
    }
    for (const WorkspaceUse& it : mUseByWorker[i]) {
      if (it.used > it.reserved) {
        out.push_back("guaranteed work outside its cells on worker " +
                      aTable.At(i).id.Value());
      }
    }
  }
  return out;
}

} // namespace limpetwood::scheduler
