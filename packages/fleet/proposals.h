// Changes of the replicated state that the leader wants to propose: collected
// for the next log entry, and remembered until they are committed so that none
// is proposed twice.

#pragma once

#include "fleet/codec.h"
#include "fleet/state.h"

#include <set>
#include <string>

namespace limpetwood::fleet {

class Proposals
{
public:
  explicit Proposals(const FleetState& aState)
    : mState(aState)
  {
  }

  void ProposeReport(const WorkerReport& aReport);
  void ProposeRemoval(const Worker& aWorker);
  // Returns false if the run is not active or its end is already proposed. An
  // end as done replaces another one that `Take` has not returned yet, because
  // a done task must not run again.
  bool ProposeEnd(const WorkerId& aWorker,
                  const RunRef& aRun,
                  EndKind aKind,
                  const std::string& aCheckpoint,
                  CrashEvidence aEvidence = CrashEvidence::kNone,
                  StopReason aReason = StopReason::kNone);
  void ProposeStart(const RunRef& aRun,
                    const WorkerId& aWorker,
                    Incarnation aIncarnation);

  // Waits for the next other change, so that it causes no log entry of its own.
  void ProposeSpeed(const Worker& aWorker, double aSpeed);

  bool HasProposedEnd(const RunRef& aRun) const
  {
    return mProposedEnds.contains(aRun);
  }
  bool HasProposedRemoval(const WorkerId& aWorker) const
  {
    return mProposedRemovals.contains(aWorker);
  }

  bool Empty() const;
  gen::Command Take() { return std::exchange(mCommand, {}); }

  // A command returned by `Take` was definitely not proposed; the next `Take`
  // returns it again.
  void Requeue(gen::Command aCommand);

  // The change was committed and may be proposed again.
  void OnEndCommitted(const RunRef& aRun) { mProposedEnds.erase(aRun); }
  void OnRemovalCommitted(const WorkerId& aWorker)
  {
    mProposedRemovals.erase(aWorker);
  }

private:
  const FleetState& mState;
  gen::Command mCommand;
  // Contained in `mCommand`, or proposed and not committed yet.
  std::set<RunRef> mProposedEnds;
  std::set<WorkerId> mProposedRemovals;
};

} // namespace limpetwood::fleet
