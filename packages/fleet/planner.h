// Decides which waiting tasks start where, and which runs make room for them.
//
//   Plan plan = planner.Decide(view);
//
// Answers the load in which urgent gangs arrive while less urgent work fills
// the workers: units of work are ranked, each is placed whole or not at all,
// and an urgent unit that has no room takes it from the runs that lose least.
//
// Pure: it sees a view of the fleet and remembers only since when units wait
// and for whom room is being made.

#pragma once

#include "fleet/forecast.h"
#include "fleet/placement.h"
#include "fleet/state.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace limpetwood::fleet {

// What comes first among the waiting steps.
enum class RankPolicy
{
  // What a start still earns: urgency, then whether it is in time.
  kWorth,
  // Baselines for comparison.
  kArrival,
  kShortest,
};

struct PlannerOptions
{
  RankPolicy rank = RankPolicy::kWorth;
  // Off in baselines.
  bool reclaims = true;
  bool reserves = true;
  bool bestFit = true;

  // How long a reclaim may take before another one is tried: the longest stop
  // with time for its answer.
  Millis reclaimTimeout = Millis(1500);
  // Runs of the same unit that may be stopped for one reclaim.
  size_t maxVictims = 128;
  // Tasks that are slower across racks are spread after this time if most of
  // the fleet is idle; a rack of their own is then unlikely to come.
  Millis spreadAfter = Millis(1500);
  // Part of the fleet's accelerators that is kept for gangs without room.
  double reservedShare = 0.4;
  // Steps without room for which room is made or kept in one pass; the others
  // wait behind them anyway.
  size_t mostReservations = 16;
  // A result this many times later than its objective is worth nothing.
  int64_t worthlessAfter = 3;
  // An urgent unit beyond its workspace's guarantee stops others only if they
  // lose at most this many times its own work: its result is worth several
  // times more for each second of an accelerator.
  double reclaimWorth = 2;
};

// What a run would lose if it were stopped now.
struct RunCost
{
  // Work since the last checkpoint.
  Millis lost{};
  // It is being stopped already.
  bool stopping = false;
  // Earlier runs of the task or its gang; work that is stopped again and again
  // never ends.
  uint32_t restarts = 0;
};

// A run on a worker as the planner sees it.
struct RunOutlook
{
  RunRef run{};
  const Job* job = nullptr;
  Resources resources{};
  Millis rest{};
  RunCost cost{};
};

struct FleetView
{
  const FleetState* state = nullptr;
  std::vector<Candidate> candidates{};
  std::function<RunCost(const WorkerId&, const RunRef&)> costOf{};
  // Expected rest of a run.
  std::function<Millis(const WorkerId&, const RunRef&)> restOf{};
  const Forecast* forecast = nullptr;
  Millis now{};
  Millis wallNow{};
  // Filled by `RunsOf`.
  mutable std::map<WorkerId, std::vector<RunOutlook>> outlook{};

  // The runs on a worker, those that end first in front.
  const std::vector<RunOutlook>& RunsOf(const WorkerId& aWorker) const;
};

struct PlannedStart
{
  RunRef run{};
  WorkerId worker{};
  Incarnation incarnation{};
};

// A run to stop so that a more urgent unit gets its room.
struct PlannedStop
{
  RunRef run{};
  WorkerId worker{};
  // The job of that unit.
  JobId roomFor{};
};

struct Plan
{
  std::vector<PlannedStart> starts{};
  std::vector<PlannedStop> stops{};
  // Units that wait for room.
  size_t blocked = 0;
  // The earliest due time of an occurrence (wall clock); `Millis::Max()` if
  // there is none.
  Millis nextDue = Millis::Max();
};

// Waiting tasks of one step of one occurrence.
struct Unit
{
  const Job* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<uint32_t> tasks{};
  // When the occurrence became due (wall clock).
  Millis due{};

  const StepSpec& Spec() const { return job->spec.steps[step]; }
};

class Planner
{
public:
  explicit Planner(PlannerOptions aOptions)
    : mOptions(aOptions)
  {
  }

  Plan Decide(FleetView aView);

  // A run of the job failed on the worker. Its next runs go elsewhere if they
  // can: the worker may be faulty before others have noticed, and a job has few
  // attempts.
  void OnFailed(const JobId& aJob, const WorkerId& aWorker)
  {
    mFailedOn[aJob].insert(aWorker);
  }
  void OnJobEnded(const JobId& aJob) { mFailedOn.erase(aJob); }

private:
  // Room that is being made for a job's unit.
  struct Reclaim
  {
    std::vector<WorkerId> workers;
    Millis until;
  };

  std::vector<Unit> CollectUnits(const FleetView& aView, Plan& aPlan) const;
  // False if some tasks found no room.
  bool PlaceUnit(const Unit& aUnit, FleetView& aView, Plan& aPlan);
  // Whether a unit of at most this shape failed in this pass already; room only
  // shrinks during a pass.
  bool IsHopeless(const Unit& aUnit) const;
  void ReclaimFor(const Unit& aUnit, FleetView& aView, Plan& aPlan);
  // Whether the urgent jobs of the unit's workspace need no more than its
  // guarantee.
  static bool IsGuaranteed(const Unit& aUnit, const FleetView& aView);

  // Names a unit between two plans.
  using UnitKey = std::tuple<JobId, uint32_t, uint32_t>;
  static UnitKey KeyOf(const Unit& aUnit);

  // What the rank of a unit depends on, the most important part first.
  using Rank = std::tuple<int, int32_t, Millis, std::string>;
  Rank RankOf(const Unit& aUnit, const FleetView& aView) const;
  void SortByRank(std::vector<Unit>& aUnits, const FleetView& aView) const;
  PlacementRequest RequestFor(const Unit& aUnit, const FleetView& aView) const;
  // Latest start for which the result is in time.
  Millis LatestStart(const Unit& aUnit, const FleetView& aView) const;
  // Whether a unit will have room in time without stopping anything.
  bool EndsInTime(const Unit& aUnit, const FleetView& aView) const;
  // Takes workers out of the view, so that later units do not use them.
  static void KeepRoom(const std::vector<WorkerId>& aWorkers, FleetView& aView);
  // Keeps room for a unit that has none; later units do not use it.
  bool Reserve(const Unit& aUnit, FleetView& aView, int64_t& aReserved) const;

  // Whether a unit that prefers one rack may run on several.
  bool MaySpread(const Unit& aUnit, const FleetView& aView) const;

  PlannerOptions mOptions;
  std::map<JobId, Reclaim> mReclaims;
  // Shapes that found no room in the present pass.
  struct FailedShape
  {
    const Unit* unit = nullptr;
  };
  std::vector<FailedShape> mFailed;
  // Workers on which runs of live jobs failed.
  std::map<JobId, std::set<WorkerId>> mFailedOn;
  // Since when units that could start have waited.
  std::map<UnitKey, Millis> mWaitingSince;
};

// Expected run time of the longest chain of steps.
Millis
LongestChain(const Job& aJob, const Forecast& aForecast);

} // namespace limpetwood::fleet
