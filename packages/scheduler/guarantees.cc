#include "scheduler/guarantees.h"

#include <algorithm>
#include <numeric>

namespace limpetwood::scheduler {

using model::TopologyScope;

std::vector<CellPart>
CoverOf(const Placement& aPlacement, uint32_t aPerMember)
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
      if (old.Bound() && old.workspace == cell.workspace &&
          old.zone == cell.zone && old.shape == cell.shape) {
        cell.parts = std::move(old.parts);
        old.parts.clear();
        break;
      }
    }
  }
  for (std::size_t i = 0; i < mCells.size(); ++i) {
    if (mCells[i].Bound()) {
      Unbind(i);
    }
  }
  mCells = std::move(aCells);
  mUnbound = static_cast<uint32_t>(std::count_if(
    mCells.begin(), mCells.end(), [](const Cell& it) { return !it.Bound(); }));
}

void
Guarantees::DropWorker(WorkerIndex aWorker)
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

Guarantees::Entry&
Guarantees::At(uint32_t aWorkspace, WorkerIndex aWorker)
{
  if (aWorker >= mWorkers.size()) {
    mWorkers.resize(aWorker + 1);
  }
  std::vector<Entry>& entries = mWorkers[aWorker];
  for (Entry& it : entries) {
    if (it.workspace == aWorkspace) {
      return it;
    }
  }
  entries.push_back({ aWorkspace, 0, 0 });
  return entries.back();
}

const Guarantees::Entry*
Guarantees::Find(uint32_t aWorkspace, WorkerIndex aWorker) const
{
  if (aWorker >= mWorkers.size()) {
    return nullptr;
  }
  for (const Entry& it : mWorkers[aWorker]) {
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
    At(cell.workspace, it.worker).reserved += it.count;
  }
  cell.parts = std::move(aParts);
  --mUnbound;
}

void
Guarantees::Unbind(std::size_t aCell)
{
  Cell& cell = mCells[aCell];
  for (const CellPart& it : cell.parts) {
    At(cell.workspace, it.worker).reserved -= it.count;
  }
  cell.parts.clear();
  ++mUnbound;
}

uint32_t
Guarantees::Total(uint32_t aWorkspace) const
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
  if (aWorker < mWorkers.size()) {
    for (const Entry& it : mWorkers[aWorker]) {
      total += it.reserved;
    }
  }
  return total;
}

uint32_t
Guarantees::Reserved(uint32_t aWorkspace, WorkerIndex aWorker) const
{
  const Entry* entry = Find(aWorkspace, aWorker);
  return entry == nullptr ? 0 : entry->reserved;
}

uint32_t
Guarantees::Used(uint32_t aWorkspace, WorkerIndex aWorker) const
{
  const Entry* entry = Find(aWorkspace, aWorker);
  return entry == nullptr ? 0 : entry->used;
}

uint32_t
Guarantees::UsedBy(uint32_t aWorkspace) const
{
  return aWorkspace < mUsedBy.size() ? mUsedBy[aWorkspace] : 0;
}

uint32_t
Guarantees::Used(WorkerIndex aWorker) const
{
  uint32_t total = 0;
  if (aWorker < mWorkers.size()) {
    for (const Entry& it : mWorkers[aWorker]) {
      total += it.used;
    }
  }
  return total;
}

uint32_t
Guarantees::Room(uint32_t aWorkspace, WorkerIndex aWorker) const
{
  const Entry* entry = Find(aWorkspace, aWorker);
  return entry == nullptr || entry->used >= entry->reserved
           ? 0
           : entry->reserved - entry->used;
}

void
Guarantees::Use(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount)
{
  At(aWorkspace, aWorker).used += aCount;
  if (aWorkspace >= mUsedBy.size()) {
    mUsedBy.resize(aWorkspace + 1);
  }
  mUsedBy[aWorkspace] += aCount;
}

void
Guarantees::Unuse(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount)
{
  At(aWorkspace, aWorker).used -= aCount;
  mUsedBy[aWorkspace] -= aCount;
}

bool
Guarantees::Movable(std::size_t aCell) const
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
                       std::size_t aIgnored) const
{
  if (!aWorker.Usable()) {
    return 0;
  }
  uint32_t reserved = Reserved(aIndex);
  if (aIgnored < mCells.size()) {
    for (const CellPart& it : mCells[aIgnored].parts) {
      reserved -= it.worker == aIndex ? it.count : 0;
    }
  }
  return reserved >= aWorker.accelerators ? 0 : aWorker.accelerators - reserved;
}

uint32_t
Guarantees::SizeOf(const WorkerTable& aTable, const Cell& aCell) const
{
  uint32_t wanted = aCell.shape.accelerators.Value();
  if (mMode != GuaranteeMode::kBuddyCells) {
    return wanted;
  }
  uint32_t perWorker = 1;
  for (const Worker& it : aTable.All()) {
    perWorker = std::max(perWorker, it.accelerators);
  }
  if (wanted <= perWorker) {
    return std::bit_ceil(wanted);
  }
  return std::bit_ceil((wanted + perWorker - 1) / perWorker) * perWorker;
}

// Completes `aParts` with accelerators of `aWorkers`: whole workers first, so
// that gangs whose members take a whole worker fit into the cell; the rest
// comes from the worker with the least room that has enough.
std::vector<CellPart>
Guarantees::TakeFrom(const WorkerTable& aTable,
                     const std::vector<WorkerIndex>& aWorkers,
                     std::size_t aCell,
                     std::vector<CellPart> aParts) const
{
  uint32_t left = SizeOf(aTable, mCells[aCell]);
  std::vector<std::pair<uint32_t, WorkerIndex>> rooms;
  for (WorkerIndex index : aWorkers) {
    uint32_t room = Unreserved(aTable.At(index), index, aCell);
    for (const CellPart& it : aParts) {
      if (it.worker == index) {
        room -= std::min(room, it.count);
      }
    }
    if (room > 0) {
      rooms.emplace_back(room, index);
    }
  }
  for (const CellPart& it : aParts) {
    left -= std::min(left, it.count);
  }
  std::sort(rooms.begin(), rooms.end());
  while (left > 0 && !rooms.empty()) {
    auto pick = std::lower_bound(
      rooms.begin(), rooms.end(), std::pair<uint32_t, WorkerIndex>(left, 0));
    if (pick == rooms.end()) {
      --pick;
    }
    uint32_t count = std::min(left, pick->first);
    auto same =
      std::find_if(aParts.begin(), aParts.end(), [&](const CellPart& it) {
        return it.worker == pick->second;
      });
    if (same != aParts.end()) {
      same->count += count;
    } else {
      aParts.push_back({ pick->second, count });
    }
    left -= count;
    rooms.erase(pick);
  }
  if (left > 0) {
    aParts.clear();
  }
  return aParts;
}

std::vector<CellPart>
Guarantees::FindPlace(const WorkerTable& aTable, std::size_t aCell) const
{
  const Cell& cell = mCells[aCell];
  uint32_t zone = aTable.FindZone(cell.zone);
  uint32_t size = SizeOf(aTable, cell);
  if (zone == kNone) {
    return {};
  }
  if (cell.shape.topologyScope == TopologyScope::kZone) {
    std::vector<WorkerIndex> workers;
    for (const RackEntry& rack : aTable.Racks()) {
      if (rack.zone == zone) {
        workers.insert(workers.end(), rack.workers.begin(), rack.workers.end());
      }
    }
    return TakeFrom(aTable, workers, aCell, {});
  }
  // The tightest domain that has enough, so that larger cells find room later.
  std::vector<WorkerIndex> best;
  uint32_t bestRoom = UINT32_MAX;
  for (const RackEntry& rack : aTable.Racks()) {
    if (rack.zone != zone) {
      continue;
    }
    uint32_t rackRoom = 0;
    for (WorkerIndex it : rack.workers) {
      rackRoom += Unreserved(aTable.At(it), it, aCell);
    }
    if (cell.shape.topologyScope == TopologyScope::kRack) {
      if (rackRoom >= size && rackRoom < bestRoom) {
        bestRoom = rackRoom;
        best = rack.workers;
      }
      continue;
    }
    for (WorkerIndex it : rack.workers) {
      uint32_t room = Unreserved(aTable.At(it), it, aCell);
      // The worker's room decides; among equals, the rack's.
      uint32_t key = room * 1024 + std::min(rackRoom, 1023U);
      if (room >= size && key < bestRoom) {
        bestRoom = key;
        best = { it };
      }
    }
  }
  return best.empty() ? std::vector<CellPart>()
                      : TakeFrom(aTable, best, aCell, {});
}

bool
Guarantees::BindInOrder(const WorkerTable& aTable)
{
  std::vector<std::size_t> order(mCells.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](auto x, auto y) {
    return mCells[x].shape.accelerators > mCells[y].shape.accelerators;
  });
  bool all = true;
  for (std::size_t i : order) {
    if (mCells[i].Bound()) {
      continue;
    }
    std::vector<CellPart> parts = FindPlace(aTable, i);
    if (parts.empty()) {
      all = false;
    } else {
      Bind(i, std::move(parts));
    }
  }
  return all;
}

bool
Guarantees::BindMissing(const WorkerTable& aTable)
{
  if (mUnbound == 0 || BindInOrder(aTable)) {
    return true;
  }
  // Pack anew. If that binds fewer cells, the old bindings come back.
  uint32_t unbound = mUnbound;
  std::vector<std::vector<CellPart>> old;
  old.reserve(mCells.size());
  for (std::size_t i = 0; i < mCells.size(); ++i) {
    old.push_back(mCells[i].parts);
    if (mCells[i].Bound() && Movable(i)) {
      Unbind(i);
    }
  }
  if (BindInOrder(aTable)) {
    return true;
  }
  if (mUnbound > unbound) {
    for (std::size_t i = 0; i < mCells.size(); ++i) {
      if (mCells[i].Bound()) {
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
Guarantees::Missing(const WorkerTable& aTable, const Cell& aCell) const
{
  uint32_t zone = aTable.FindZone(aCell.zone);
  uint32_t best = 0;
  uint32_t sum = 0;
  for (const RackEntry& rack : aTable.Racks()) {
    if (rack.zone != zone || zone == kNone) {
      continue;
    }
    uint32_t rackRoom = 0;
    for (WorkerIndex it : rack.workers) {
      uint32_t room = Unreserved(aTable.At(it), it);
      rackRoom += room;
      if (aCell.shape.topologyScope == TopologyScope::kWorker) {
        best = std::max(best, room);
      }
    }
    sum += rackRoom;
    if (aCell.shape.topologyScope == TopologyScope::kRack) {
      best = std::max(best, rackRoom);
    }
  }
  best = aCell.shape.topologyScope == TopologyScope::kZone ? sum : best;
  uint32_t wanted = SizeOf(aTable, aCell);
  return best >= wanted ? 0 : wanted - best;
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
  uint32_t zone = kNone;
  uint32_t rack = kNone;
  for (const CellPart& it : aCover) {
    const Worker& worker = aTable.At(it.worker);
    if (Unreserved(worker, it.worker, aCell) < it.count) {
      return false;
    }
    bool sameZone = zone == kNone || worker.zone == zone;
    bool sameRack = rack == kNone || worker.rack == rack;
    if (!sameZone ||
        (!sameRack && cell.shape.topologyScope != TopologyScope::kZone)) {
      return false;
    }
    zone = worker.zone;
    rack = worker.rack;
    total += it.count;
    cover.push_back(it);
  }
  if (total > SizeOf(aTable, cell) || zone != aTable.FindZone(cell.zone)) {
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
  std::vector<CellPart> parts = TakeFrom(aTable, workers, aCell, cover);
  if (parts.empty()) {
    return false;
  }
  if (cell.Bound()) {
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
    uint32_t rack = kNone;
    uint32_t worker = kNone;
    bool close = true;
    for (const CellPart& it : cell.parts) {
      const Worker& at = aTable.At(it.worker);
      sums[it.worker] += it.count;
      total += it.count;
      close = close && aTable.Zones()[at.zone] == cell.zone;
      if (cell.shape.topologyScope != TopologyScope::kZone) {
        close = close && (rack == kNone || rack == at.rack);
      }
      if (cell.shape.topologyScope == TopologyScope::kWorker) {
        close = close && (worker == kNone || worker == it.worker);
      }
      rack = at.rack;
      worker = it.worker;
      if (!at.alive) {
        out.push_back("guarantee on a worker without a lease: " +
                      at.id.Value());
      }
    }
    if (cell.Bound() && (total != SizeOf(aTable, cell) || !close)) {
      out.emplace_back("cell does not have its shape");
    }
  }
  for (WorkerIndex i = 0; i < aTable.Size(); ++i) {
    if (sums[i] > aTable.At(i).accelerators) {
      out.push_back("guarantees exceed worker " + aTable.At(i).id.Value());
    }
    if (i >= mWorkers.size()) {
      continue;
    }
    for (const Entry& it : mWorkers[i]) {
      if (it.used > it.reserved) {
        out.push_back("guaranteed work outside its cells on worker " +
                      aTable.At(i).id.Value());
      }
    }
  }
  return out;
}

} // namespace limpetwood::scheduler
