// The changes that the leader wants in the replicated state: collected for the
// next log entry, and remembered until they are committed so that none is
// proposed twice.

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

  void Report(const WorkerReport& aReport);
  void Gone(const Worker& aWorker);
  // False if the run is not active or its end is proposed already.
  bool End(const WorkerId& aWorker,
           const RunRef& aRun,
           EndKind aKind,
           const std::string& aCheckpoint);
  void Start(const RunRef& aRun,
             const WorkerId& aWorker,
             Incarnation aIncarnation);

  bool IsEnding(const RunRef& aRun) const { return mEnds.contains(aRun); }
  bool IsLeaving(const WorkerId& aWorker) const
  {
    return mGone.contains(aWorker);
  }

  bool Empty() const;
  gen::Command Take() { return std::exchange(mCommand, {}); }

  // What was taken was certainly not proposed; `Take` returns it again.
  void PutBack(gen::Command aCommand);

  // Committed; the same may be proposed again.
  void OnEndCommitted(const RunRef& aRun) { mEnds.erase(aRun); }
  void OnGoneCommitted(const WorkerId& aWorker) { mGone.erase(aWorker); }

private:
  const FleetState& mState;
  gen::Command mCommand;
  // In `mCommand` or on their way to the log.
  std::set<RunRef> mEnds;
  std::set<WorkerId> mGone;
};

} // namespace limpetwood::fleet
