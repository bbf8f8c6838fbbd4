// Selects workers for the tasks of one step.
//
// Limits fragmentation: if small tasks were spread over all workers, no rack
// would have space for a whole gang. Tasks that prefer one rack are placed in
// the rack that has the least capacity left among those that fit; other tasks
// are placed on the fullest workers that fit. Workers with a fault score come
// last.

#pragma once

#include "fleet/types.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace limpetwood::fleet {

// Speed of a worker compared with the median of the workers.
enum class SpeedClass
{
  kSlow,
  kNormal,
  kFast,
};

// Which workers a request uses first. The tasks of urgent steps go to fast
// workers, and those that can wait to slow ones, so that fast ones stay free.
enum class SpeedPreference
{
  kNone,
  kFast,
  kSlow,
};

// A worker is kept for a unit that is expected to fit later.
struct Reservation
{
  StepRef beneficiary{};
  // Expected time until the unit starts. Until then, tasks that end in time may
  // use the worker.
  Millis startsIn{};
};

// A worker that can take new tasks.
struct Candidate
{
  WorkerId id{};
  ServiceId service{};
  // Number of the rack among those of all candidates, starting at 0; set by
  // `NumberRacks`.
  uint32_t rack = 0;
  const WorkerReport* report = nullptr;
  // Free resources; negative if the capacity shrank below what is in use.
  Resources available{};
  // Nothing runs on the worker.
  bool idle = false;
  // Its process has been known for a short time only.
  bool isNew = false;
  // It is slow because it started recently; used only if the others do not
  // suffice.
  bool isCold = false;
  SpeedClass speed = SpeedClass::kNormal;
  // Higher is worse; 0 for a worker without faults.
  int faultScore = 0;
  std::optional<Reservation> reservation{};
};

struct PlacementRequest
{
  const StepSpec* step = nullptr;
  // Identifies the step among those whose runs end; see `WorkerRoom::Release`.
  StepRef ref{};
  const ServiceId* service = nullptr;
  uint32_t tasks = 0;
  // Time for which the tasks are expected to use their workers. They use no
  // worker that is reserved from an earlier time on.
  Millis duration{};
  // Active and planned tasks of the step by worker. Used only with
  // `perWorkerLimit`.
  std::map<WorkerId, uint32_t> activeTasks{};
  // Returns whether a worker is used only if the others do not suffice; may be
  // empty.
  std::function<bool(const WorkerId&)> isAvoided{};
  SpeedPreference speed = SpeedPreference::kNone;
  // Whether tasks that prefer one rack may be placed on several.
  bool maySpanRacks = false;
  // The tasks may crash their workers: at most one on each, unless the step is
  // a gang. New workers are used only if the others do not suffice, because a
  // worker that restarts again and again is new and idle.
  bool onTrial = false;
  // Uses idle workers only.
  bool onIdleWorkers = false;
  // Fills the fullest workers first; otherwise the first workers that fit.
  bool bestFit = true;
};

// Sets `Candidate::rack`, equal for candidates in the same rack.
void
NumberRacks(std::vector<Candidate>& aCandidates);

// Returns an index into `aCandidates` for each task; fewer if not all tasks
// fit. The tasks of a gang, and tasks that must share one rack, are placed all
// or not at all.
std::vector<size_t>
Place(const PlacementRequest& aRequest,
      const std::vector<Candidate>& aCandidates);

// Whether the worker may run the step at all, regardless of its current load.
bool
MayRun(const StepSpec& aStep,
       const ServiceId& aService,
       const WorkerReport& aWorker);

// Number of tasks of the step that fit into `aAvailable`, at most `aLimit`.
uint32_t
TasksThatFit(const StepSpec& aStep, Resources aAvailable, uint32_t aLimit);

// Whether the worker is reserved for another unit before the tasks would end.
bool
IsReservedAgainst(const PlacementRequest& aRequest,
                  const Candidate& aCandidate);

// Whether the tasks are placed in one rack or not at all.
bool
NeedsOneRack(const PlacementRequest& aRequest);

// What a worker has left for a request, now or after some of its runs have
// ended. All decisions about workers for a request count tasks by this class:
// workers that one decision keeps or empties for a request must be workers on
// which another one places its tasks.
class WorkerRoom
{
public:
  // Returns nothing if the worker may not run the request's tasks, whatever
  // ends there, or is reserved against it. `aRequest` must outlive the result.
  static std::optional<WorkerRoom> On(const PlacementRequest& aRequest,
                                      const Candidate& aCandidate);

  // The same for a worker that nothing runs on or is reserved for.
  static std::optional<WorkerRoom> OnIdle(const PlacementRequest& aRequest,
                                          const Candidate& aCandidate);

  // Number of tasks of the request that the worker can take.
  uint32_t Tasks() const;

  // Adds what the end of a run frees, or takes it away again.
  void Release(const TaskRef& aTask, const Resources& aResources);
  void Retake(const TaskRef& aTask, const Resources& aResources);

private:
  WorkerRoom(const PlacementRequest& aRequest,
             const Resources& aAvailable,
             uint32_t aActiveTasks)
    : mRequest(&aRequest)
    , mAvailable(aAvailable)
    , mActiveTasks(aActiveTasks)
  {
  }

  const PlacementRequest* mRequest;
  Resources mAvailable;
  // Tasks of the request's step that are active on the worker; 0 if the step
  // has no limit.
  uint32_t mActiveTasks;
};

} // namespace limpetwood::fleet
