// Chooses a zone for each job that has none. Run by the control leader; has no
// side effects.
//
// A job stays unassigned while every zone that could run it has reached its
// backlog limit, so that the zones' queues stay even. The limit does not apply
// to urgent jobs and to zones in which the job's workspace has a pinned
// guarantee; such zones are preferred.

#pragma once

#include "base/ids.h"
#include "control/job_table.h"
#include "membership/instance_table.h"
#include "model/validate.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace limpetwood::control {

struct Assignment
{
  JobId job;
  ZoneId zone;
};

class Assigner
{
public:
  // Backlog limit of a zone: accelerators of its assigned jobs divided by its
  // live accelerators. At the limit, the zone accepts only urgent jobs and jobs
  // of workspaces with a guarantee pinned there.
  static constexpr double kMaxBacklogRatio = 2.0;
  // Bounds the assignments of one pass, so that a burst of jobs does not delay
  // the leader's other work.
  static constexpr size_t kMaxAssignmentsPerPass = 256;

  // Takes the racks of the zones from the document and the pinned guarantees
  // from its plan.
  explicit Assigner(const model::PlannedDocument& aPlanned);

  // Chooses among zones that have a live authority and are not in `aEvacuated`.
  // Urgent jobs come first, then jobs in order of submission.
  std::vector<Assignment> Assign(const JobTable& aJobs,
                                 const membership::InstanceTable& aInstances,
                                 Millis aNow,
                                 const std::set<ZoneId>& aEvacuated = {}) const;

  // True if the declared workers of a zone can hold all members of a job
  // within the topology scope that it requires.
  bool Fits(const model::JobSpec& aSpec, const ZoneId& aZone) const;

private:
  struct Zone
  {
    ZoneId id;
    std::vector<model::Rack> racks;
    // Declared, not necessarily live.
    uint64_t accelerators = 0;
    // Accelerators of the guarantees pinned to this zone.
    std::map<WorkspaceId, uint64_t> pinned;
  };

  // Accelerators assigned in the current pass, which the job table does not
  // include yet.
  using PlannedAccelerators = std::map<ZoneId, uint64_t>;

  // A zone whose authority is alive, with its live accelerators.
  struct LiveZone
  {
    const Zone* zone = nullptr;
    uint64_t accelerators = 0;
  };

  // Returns null if no zone can take the job now.
  const Zone* Choose(const JobRecord& aJob,
                     const JobTable& aJobs,
                     const std::vector<LiveZone>& aLive,
                     const PlannedAccelerators& aPlanned) const;

  std::vector<Zone> mZones;
};

} // namespace limpetwood::control
