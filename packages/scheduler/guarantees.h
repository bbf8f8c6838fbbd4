// Keeps the guaranteed shapes satisfiable all together.
//
// Each shape instance of the plan is bound to a *cell*: accelerators on workers
// that are close enough together. The cells are disjoint, so their existence
// proves that all guarantees can be met at once. Other workspaces' work may run
// on a cell, but stays preemptible; only work of the cell's own workspace is
// guaranteed there. The binding of a cell whose accelerators carry no
// guaranteed work may move.
//
// Invariants, for each worker: the cells of all workspaces take at most the
// worker's accelerators; guaranteed work of a workspace takes at most what its
// cells reserve there.

#pragma once

#include "model/document.h"
#include "scheduler/options.h"
#include "scheduler/placement.h"
#include "scheduler/worker_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace limpetwood::scheduler {

struct CellPart
{
  WorkerIndex worker = kNoIndex;
  uint32_t count = 0;
};

struct Cell
{
  uint32_t workspace = kNoIndex;
  ZoneId zone;
  model::Shape shape;
  // Empty while no place is known.
  std::vector<CellPart> parts;

  bool IsBound() const { return !parts.empty(); }
};

// The accelerators that a placement takes of each worker.
std::vector<CellPart>
AcceleratorsByWorker(const Placement& aPlacement, uint32_t aPerMember);

class Guarantees
{
public:
  explicit Guarantees(GuaranteeMode aMode);

  // Replaces the plan. Bindings of cells that the new plan has as well are
  // kept. The caller demotes guaranteed work that is left without a cell.
  void Configure(std::vector<Cell> aCells);

  // Unbinds all cells with a part on this worker.
  void UnbindWorker(WorkerIndex aWorker);

  // Binds cells that have no place. If one finds none, all movable cells are
  // packed anew, largest first. Returns true if all are bound.
  bool BindUnbound(const WorkerTable& aTable);

  const std::vector<Cell>& Cells() const { return mCells; }
  bool HasUnbound() const { return mUnbound > 0; }
  // Accelerators missing for an unbound cell, given the best place for it.
  uint32_t MissingAccelerators(const WorkerTable& aTable,
                               const Cell& aCell) const;

  // Accelerators in all cells of a workspace.
  uint32_t GuaranteedAccelerators(uint32_t aWorkspace) const;

  uint32_t Reserved(WorkerIndex aWorker) const;
  uint32_t Reserved(uint32_t aWorkspace, WorkerIndex aWorker) const;
  uint32_t Used(uint32_t aWorkspace, WorkerIndex aWorker) const;
  uint32_t UsedByWorkspace(uint32_t aWorkspace) const;
  // Sum over all workspaces.
  uint32_t Used(WorkerIndex aWorker) const;
  // What guaranteed work of the workspace may still take there.
  uint32_t AvailableAccelerators(uint32_t aWorkspace,
                                 WorkerIndex aWorker) const;

  void AddUse(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount);
  void RemoveUse(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount);

  // No guaranteed work depends on the cell where it is.
  bool IsMovable(std::size_t aCell) const;
  // Moves a movable cell so that it covers at least `aCover`. Returns false and
  // changes nothing if there is no such place.
  bool MoveToCover(const WorkerTable& aTable,
                   std::size_t aCell,
                   const std::vector<CellPart>& aCover);

  // Accelerators of a worker that no cell reserves, not counting `aIgnored`.
  uint32_t Unreserved(const Worker& aWorker,
                      WorkerIndex aIndex,
                      std::size_t aExcludedCell = SIZE_MAX) const;

  std::vector<std::string> CheckInvariants(const WorkerTable& aTable) const;

private:
  struct WorkspaceUse
  {
    uint32_t workspace = kNoIndex;
    uint32_t reserved = 0;
    uint32_t used = 0;
  };

  WorkspaceUse& EntryFor(uint32_t aWorkspace, WorkerIndex aWorker);
  const WorkspaceUse* FindEntry(uint32_t aWorkspace, WorkerIndex aWorker) const;
  void Bind(std::size_t aCell, std::vector<CellPart> aParts);
  void Unbind(std::size_t aCell);
  std::vector<CellPart> FindParts(const WorkerTable& aTable,
                                  std::size_t aCell) const;
  std::vector<CellPart> CompleteParts(const WorkerTable& aTable,
                                      const std::vector<WorkerIndex>& aWorkers,
                                      std::size_t aCell,
                                      std::vector<CellPart> aParts) const;
  // Accelerators that the cell takes, with the rounding of the mode.
  uint32_t CellSize(const WorkerTable& aTable, const Cell& aCell) const;
  bool BindLargestFirst(const WorkerTable& aTable);

  GuaranteeMode mMode;
  std::vector<Cell> mCells;
  std::vector<std::vector<WorkspaceUse>> mUseByWorker;
  // Guaranteed work of each workspace, the sum over its workers.
  std::vector<uint32_t> mUsedByWorkspace;
  uint32_t mUnbound = 0;
};

} // namespace limpetwood::scheduler
