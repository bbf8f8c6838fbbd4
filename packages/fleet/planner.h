// Decides which waiting tasks start on which workers, and which runs to stop
// for them.
//
//   Plan plan = planner.Decide(view);
//
// Units of work are ranked; each gang is placed completely or not at all. For
// an urgent unit that does not fit, the planner preempts the less urgent runs
// that lose the least work; for other gangs it reserves workers.
//
// Performs no I/O and reads no clock. Between passes it keeps only how long
// units have waited, pending preemptions, and the workers on which runs failed.

#pragma once

#include "fleet/caller_cost.h"
#include "fleet/forecast.h"
#include "fleet/placement.h"
#include "fleet/state.h"
#include "fleet/wait_report.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace limpetwood::fleet {

// Order in which waiting steps are considered.
enum class RankPolicy
{
  // By urgency, by whether the result can still be in time, and by the latest
  // start.
  kUrgencyAndDeadline,
  // Baselines for experiments.
  kArrivalOrder,
  kShortestFirst,
};

struct PlannerOptions
{
  RankPolicy rankPolicy = RankPolicy::kUrgencyAndDeadline;
  // Disabled in the baselines of experiments.
  bool preemptionEnabled = true;
  bool reservationsEnabled = true;
  bool bestFit = true;

  // Time after which a preemption that has not freed the workers is abandoned
  // and another may start: the maximum stop time plus the time until the
  // ends of the runs are reported.
  Millis reclaimTimeout = Millis(1500);
  // Maximum number of runs to stop for one unit.
  size_t maxVictims = 128;
  // A step that prefers one rack may be placed on several after this time if
  // waiting longer is of no use: see `MaySpanRacks`.
  Millis maxRackWait = Millis(1500);
  // Maximum time for which such a step waits in total for a rack that is
  // expected to have room, with the time until then; at least twice the
  // expected time of its tasks, which would run several times as long on
  // several racks.
  Millis maxTotalRackWait = Seconds(20);
  // A task on trial that has waited this long for an idle worker shares one.
  Millis maxTrialWait = Millis(1500);
  // Maximum fraction of all resources, by weight, that is reserved for gangs
  // that do not fit.
  double maxReservedShare = 0.4;
  // Workers that are reserved from a time nearer than this stay free until
  // then: what would start there meanwhile delays the gang if it takes longer
  // than expected, and urgent work that arrives would have to stop it.
  Millis minReservationDelay = Seconds(10);
  // A reservation keeps no task waiting for longer than this. Tasks that last
  // have no end before which they could use a reserved worker, so they do not
  // wait for a reservation that is further off than `maxLastingDelay`.
  Millis maxReservationDelay = Seconds(30);
  Millis maxLastingDelay = Millis(1500);
  // Maximum number of blocked units for which one pass starts preemptions or
  // reservations; bounds the cost of a pass. Later units have a lower rank and
  // wait behind these anyway, or have their turn when there can be no room for
  // these.
  size_t maxBlockedUnitsPerPass = 16;
  // A result has no value when its latency exceeds the objective by this
  // factor.
  int64_t maxLatenessFactor = 3;
  // Maximum ratio of the work lost by preemption to the work of the urgent
  // unit, for units beyond their workspace's guarantee. Above 1 because an
  // urgent result is worth several times more per accelerator second.
  double maxPreemptionCostRatio = 2;
  // A unit that has waited this long is reported; then again after twice the
  // time since its last report, at most `maxReportDelay`.
  Millis minReportDelay = Seconds(1);
  Millis maxReportDelay = Minutes(1);
  // Minimum time between two reports of waiting units, because each examines
  // all workers.
  Millis minReportInterval = Millis(250);
  // See `DispatcherOptions::callerCost`.
  bool callerCost = false;
  // With `callerCost`, the time for which a guaranteed unit waits for room that
  // costs callers little before it is given room at any cost. A failed attempt
  // blocks the next one for `reclaimTimeout`, and both must end within the time
  // in which a guarantee is met, 2.7 s or more.
  Millis maxGuaranteeWait = Millis(400);
};

// Cost of stopping a run now.
struct RunCost
{
  // Run time that would have to be repeated; 0 for tasks that save checkpoints.
  Millis lostWork{};
  // Run time of a new run in its place.
  Millis totalTime{};
  // The run is already being stopped.
  bool stopping = false;
  // Earlier attempts of the task or its gang. They raise the cost, because work
  // that is stopped repeatedly never completes.
  uint32_t restarts = 0;
};

// An active run with its expected remaining time and its cost of preemption.
struct RunEstimate
{
  RunRef run{};
  const Job* job = nullptr;
  Resources resources{};
  Millis remaining{};
  RunCost cost{};
  // What callers lose beside the work if the run is stopped, in core-seconds.
  double callerLoss = 0;
};

struct FleetView
{
  const FleetState* state = nullptr;
  std::vector<Candidate> candidates{};
  std::function<RunCost(const WorkerId&, const RunRef&)> costOf{};
  // Returns the expected remaining time of a run; `Millis::Max()` if unknown.
  std::function<Millis(const WorkerId&, const RunRef&)> remainingTimeOf{};
  // Why a worker that is not among the candidates takes no tasks; may be empty.
  std::function<std::string_view(const WorkerId&)> unusableReasonOf{};
  // Whether a run is suspected of crashing its worker and not cleared yet; may
  // be empty.
  std::function<bool(const WorkerId&, const RunRef&)> isOnTrial{};
  const Forecast* forecast = nullptr;
  // Set by the planner if `PlannerOptions::callerCost` is.
  const CallerCost* callerCost = nullptr;
  Millis now{};
  Millis wallNow{};
  // Cache of `RunsOf`, by `Candidate::report`.
  mutable std::unordered_map<const WorkerReport*, std::vector<RunEstimate>>
    runEstimates{};

  // Returns the runs on a worker, ordered by their expected end. The reference
  // stays valid for the whole pass.
  const std::vector<RunEstimate>& RunsOf(const Candidate& aWorker) const;

private:
  static void AddCallerLoss(RunEstimate& aRun, const CallerCost& aCost);
};

struct PlannedStart
{
  RunRef run{};
  WorkerId worker{};
  Incarnation incarnation{};
  SpeedClass speed = SpeedClass::kNormal;
};

// A run to stop so that a more urgent unit can use its resources.
struct PlannedStop
{
  RunRef run{};
  WorkerId worker{};
  // The job of the more urgent unit.
  JobId beneficiary{};
  // The cost of all stops for the unit and the most that they may cost, in
  // core-seconds.
  double cost = 0;
  double maxCost = std::numeric_limits<double>::infinity();
};

struct Plan
{
  std::vector<PlannedStart> starts{};
  std::vector<PlannedStop> stops{};
  // Reports of units that wait, at most one for each `minReportInterval`.
  std::vector<WaitReport> waits{};
  // Number of units that do not fit.
  size_t blockedUnits = 0;
  // Earliest due time of a future occurrence (wall clock); `Millis::Max()` if
  // there is none.
  Millis nextDue = Millis::Max();
};

// Defined in reservation.h.
struct ReservationChoice;

// The waiting tasks of one step of one occurrence; the unit of scheduling.
struct Unit
{
  const Job* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<uint32_t> tasks{};
  // Due time of the occurrence, or the acceptance time of a job without
  // scheduled occurrences (wall clock).
  Millis due{};
  // The tasks are suspected of crashing workers and are tried apart.
  bool onTrial = false;

  const StepSpec& Spec() const { return job->spec.steps[step]; }
  StepRef Ref() const { return { job->id, occurrence, step }; }
};

class Planner
{
public:
  explicit Planner(PlannerOptions aOptions)
    : mOptions(aOptions)
  {
  }

  // Makes one planning pass. The caller must start and stop the runs of the
  // plan, or the next pass plans the starts again. Stops are planned again only
  // after `reclaimTimeout`.
  Plan Decide(FleetView aView);

  // Records that a run of the job failed on the worker. Later runs of the job
  // avoid that worker if possible: it may be faulty although other runs have
  // not failed there yet, and a job has few attempts.
  void OnRunFailed(const JobId& aJob, const WorkerId& aWorker)
  {
    mWorkersWithFailures[aJob].insert(aWorker);
  }
  void OnJobEnded(const JobId& aJob) { mWorkersWithFailures.erase(aJob); }

private:
  // A preemption in progress for a unit of a job.
  struct PendingPreemption
  {
    std::vector<WorkerId> workers;
    Millis expiresAt;
  };

  std::vector<Unit> CollectUnits(const FleetView& aView, Plan& aPlan) const;
  // Adds the unit. Of a step with suspected tasks, a single one is on trial
  // before any other task starts; once one has passed, the other suspects are
  // tried each on a worker of its own.
  static void AddUnit(Unit aUnit,
                      const FleetView& aView,
                      std::vector<Unit>& aUnits);
  // Starts tasks of the unit, all of which are requested. Returns the number of
  // tasks that fit; they are the unit's first ones.
  size_t PlaceUnit(const Unit& aUnit,
                   const PlacementRequest& aRequest,
                   FleetView& aView,
                   Plan& aPlan);
  // Whether a unit with no greater requirements already failed to fit in this
  // pass. Free resources only shrink during a pass, so this unit cannot fit
  // either.
  bool IsKnownNotToFit(const Unit& aUnit,
                       const FleetView& aView,
                       const Plan& aPlan) const;
  // Preempts runs or reserves workers for a unit of which all tasks but the
  // first `aPlaced` did not fit, and keeps the workers from later units.
  void MakeRoomFor(const Unit& aUnit,
                   size_t aPlaced,
                   FleetView& aView,
                   Plan& aPlan);
  // Keeps the workers of a pending preemption for the unit's job. Returns false
  // if there is none.
  bool HoldPending(const Unit& aUnit, FleetView& aView);
  // Stops runs so that the request for tasks of the unit fits, if it is worth
  // that.
  void PreemptFor(const Unit& aUnit,
                  PlacementRequest aRequest,
                  FleetView& aView,
                  Plan& aPlan);
  // Whether all urgent jobs of the unit's workspace together are within its
  // guarantee.
  static bool IsGuaranteed(const Unit& aUnit, const FleetView& aView);

  // With `callerCost`: whether a guaranteed unit gets room at any cost now,
  // because it has waited for `maxGuaranteeWait` or would soon be late.
  bool MustMeetGuarantee(const Unit& aUnit, const FleetView& aView) const;

  // Identifies a unit across planning passes.
  using UnitKey = std::tuple<JobId, uint32_t, uint32_t, bool>;
  static UnitKey KeyOf(const Unit& aUnit);

  // Sort key of a unit, the most significant part first.
  using Rank = std::tuple<int, int32_t, Millis, std::string>;
  Rank RankOf(const Unit& aUnit, const FleetView& aView) const;
  void SortByRank(std::vector<Unit>& aUnits, const FleetView& aView) const;
  // The request for the unit's tasks without the first `aPlaced`, which the
  // pass has placed.
  PlacementRequest RequestFor(const Unit& aUnit,
                              const FleetView& aView,
                              const Plan& aPlan,
                              size_t aPlaced) const;
  // Time for which the unit's tasks use their workers, as far as reservations
  // of other units have to respect it.
  Millis DurationOf(const Unit& aUnit, const FleetView& aView) const;
  // Latest start of the unit (wall clock) that still meets the latency
  // objective of its job.
  Millis LatestStart(const Unit& aUnit, const FleetView& aView) const;
  SpeedPreference SpeedFor(const Unit& aUnit, const FleetView& aView) const;
  // Whether the unit is expected to fit in time without preemption. `aChoice`
  // is the best reservation for it.
  bool WillFitInTime(const Unit& aUnit,
                     const std::optional<ReservationChoice>& aChoice,
                     const FleetView& aView) const;
  // Removes the workers from the candidates of the pass, so that later units do
  // not use them.
  void HoldWorkers(std::vector<WorkerId> aWorkers,
                   const Unit& aUnit,
                   HeldWorker::Reason aReason,
                   Millis aRemaining,
                   FleetView& aView);
  // Reserves the chosen workers for a gang that does not fit, so that later
  // units use them only if they end in time, unless all reservations of the
  // pass would exceed `maxReservedShare`.
  void Reserve(const Unit& aUnit, ReservationChoice aChoice, FleetView& aView);

  // Whether the pass makes no attempt to make room for an urgent unit, because
  // it fits nowhere and other units wait for their turn.
  bool MustSkipAttempt(const Unit& aUnit, const FleetView& aView) const;
  void RecordAttempt(const Unit& aUnit,
                     bool aFitsNowhere,
                     const FleetView& aView);

  // Adds a report of the unit if one is due. `aPlaced` as in `RequestFor`.
  void ReportIfDue(const Unit& aUnit,
                   size_t aPlaced,
                   const FleetView& aView,
                   Plan& aPlan);

  // Time for which the unit has been startable.
  Millis WaitingTime(const Unit& aUnit, const FleetView& aView) const;
  // Whether the unit is on trial and has not waited for `maxTrialWait`.
  bool NeedsIdleWorkers(const Unit& aUnit, const FleetView& aView) const;
  // Whether some rack could hold all tasks of the request if nothing else ran
  // there.
  bool CouldOneRackHold(const PlacementRequest& aRequest,
                        const FleetView& aView) const;
  // Whether a unit that prefers one rack may be placed on several. It may
  // - if no rack could hold all tasks even if nothing else ran there,
  // and, once it has waited for `maxRackWait`,
  // - if more than half of the matching workers' resources are idle, because a
  //   whole rack is then unlikely to become free,
  // - if it lasts and there is room for twice its tasks,
  // - if more than half of its service is idle and there is room for its tasks,
  //   unless one rack will have room soon,
  // - if no rack is expected to have room, or none in time.
  bool MaySpanRacks(const Unit& aUnit,
                    const PlacementRequest& aRequest,
                    const FleetView& aView) const;
  // Whether the unit is placed in one rack or not at all.
  bool NeedsOneRack(const Unit& aUnit,
                    const FleetView& aView,
                    const Plan& aPlan) const;
  // Whether the unit has waited for `maxRackWait`.
  bool WaitedForRack(const Unit& aUnit, const FleetView& aView) const;

  PlannerOptions mOptions;
  // Pending preemptions by the job for which they free workers.
  std::map<JobId, PendingPreemption> mPendingPreemptions;
  struct UnplaceableUnit
  {
    const Unit* unit = nullptr;
    // It may fit if its tasks are spread over several racks.
    bool needsOneRack = false;
  };
  // Weight of the resources of all workers, and of those reserved so far in
  // this pass.
  double mTotalWeight = 0;
  double mReservedWeight = 0;
  // The latest pass left units out for `maxBlockedUnitsPerPass`.
  bool mLimitReached = false;
  // Units that did not fit in the current pass; empty between passes.
  std::vector<UnplaceableUnit> mUnplaceable;
  // Workers on which runs of a live job failed.
  std::map<JobId, std::set<WorkerId>> mWorkersWithFailures;
  // Workers that the current pass keeps for units; empty between passes.
  std::vector<HeldWorker> mHeldWorkers;
  struct Waiting
  {
    Millis since;
    Millis nextReportAt;
    // If the unit fits nowhere, whatever ends, and passes leave units out for
    // `maxBlockedUnitsPerPass`, the next attempt to make room for it waits
    // until `nextAttemptAt`, so that others have their turn.
    Millis nextAttemptAt{};
    Millis attemptDelay{};
  };
  // The startable units.
  std::map<UnitKey, Waiting> mWaiting;
  Millis mNextReportAt{};
};

} // namespace limpetwood::fleet
