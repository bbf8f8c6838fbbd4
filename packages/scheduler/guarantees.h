// Reserves capacity so that all guaranteed shapes can be provided at the same
// time.
//
// Each shape instance of the plan is bound to a *cell*: a set of accelerators
// on workers that lie within the shape's topology scope. Cells are disjoint, so
// all guarantees can be met together if every cell is bound. Work of other
// workspaces may run in a cell but stays preemptible; only work of the cell's
// own workspace is guaranteed there. A cell may be bound elsewhere while its
// accelerators run no guaranteed work.
//
// Invariants for each worker: the cells of all workspaces reserve at most the
// worker's accelerators, and guaranteed work of a workspace uses at most what
// the cells of that workspace reserve.

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
  // Empty while the cell is unbound.
  std::vector<CellPart> parts;

  bool IsBound() const { return !parts.empty(); }
};

// Returns the accelerators that a placement takes on each worker.
std::vector<CellPart>
AcceleratorsByWorker(const Placement& aPlacement, uint32_t aPerMember);

class Guarantees
{
public:
  explicit Guarantees(GuaranteeMode aMode);

  // Replaces the set of cells. Cells that also existed before keep their
  // bindings. The caller must make guaranteed work preemptible that has lost
  // its cell.
  void Configure(std::vector<Cell> aCells);

  // Unbinds all cells that include this worker.
  void UnbindWorker(WorkerIndex aWorker);

  // Binds all unbound cells. If some cell does not fit, rebinds all movable
  // cells, largest first. Returns true if all cells are bound.
  bool BindUnbound(const WorkerTable& aTable);

  const std::vector<Cell>& Cells() const { return mCells; }
  bool HasUnbound() const { return mUnbound > 0; }
  // Returns how many accelerators are missing to bind the cell in the domain
  // with the most unreserved accelerators.
  uint32_t MissingAccelerators(const WorkerTable& aTable,
                               const Cell& aCell) const;

  // Returns the accelerators in all cells of a workspace, bound or not.
  uint32_t GuaranteedAccelerators(uint32_t aWorkspace) const;

  // Accelerators that cells reserve on a worker, for all workspaces or for one.
  uint32_t Reserved(WorkerIndex aWorker) const;
  uint32_t Reserved(uint32_t aWorkspace, WorkerIndex aWorker) const;
  // Accelerators used by guaranteed work of a workspace, on one worker or in
  // all.
  uint32_t Used(uint32_t aWorkspace, WorkerIndex aWorker) const;
  uint32_t UsedByWorkspace(uint32_t aWorkspace) const;
  // Accelerators used by guaranteed work of all workspaces.
  uint32_t Used(WorkerIndex aWorker) const;
  // Accelerators that further guaranteed work of the workspace may use there.
  uint32_t AvailableAccelerators(uint32_t aWorkspace,
                                 WorkerIndex aWorker) const;

  void AddUse(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount);
  void RemoveUse(uint32_t aWorkspace, WorkerIndex aWorker, uint32_t aCount);

  // Returns true if no guaranteed work depends on the current binding.
  bool IsMovable(std::size_t aCell) const;
  // Rebinds a movable cell so that it includes at least `aCover`. Returns
  // false, without any change, if that is not possible.
  bool MoveToCover(const WorkerTable& aTable,
                   std::size_t aCell,
                   const std::vector<CellPart>& aCover);

  // Accelerators of a worker that no cell reserves. The reservation of
  // `aExcludedCell` is not counted.
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
  // Accelerators that the cell takes, rounded up as the mode requires.
  uint32_t CellSize(const WorkerTable& aTable, const Cell& aCell) const;
  bool BindLargestFirst(const WorkerTable& aTable);

  GuaranteeMode mMode;
  std::vector<Cell> mCells;
  std::vector<std::vector<WorkspaceUse>> mUseByWorker;
  // Accelerators used by guaranteed work of each workspace, over all workers.
  std::vector<uint32_t> mUsedByWorkspace;
  uint32_t mUnbound = 0;
};

} // namespace limpetwood::scheduler
