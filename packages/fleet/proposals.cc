#include "fleet/proposals.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace limpetwood::fleet {

void
Proposals::ProposeReport(const WorkerReport& aReport)
{
  mCommand.workers.push_back(ToWire(aReport));
}

void
Proposals::ProposeRemoval(const Worker& aWorker)
{
  if (!mProposedRemovals.insert(aWorker.report.id).second) {
    return;
  }
  gen::WorkerGone gone;
  gone.id = aWorker.report.id.Value();
  gone.incarnation = static_cast<int64_t>(aWorker.report.incarnation.Value());
  mCommand.gone.push_back(std::move(gone));
}

bool
Proposals::ProposeEnd(const WorkerId& aWorker,
                      const RunRef& aRun,
                      EndKind aKind,
                      const std::string& aCheckpoint,
                      CrashEvidence aEvidence,
                      StopReason aReason)
{
  if (!mState.IsActive(aRun, aWorker)) {
    return false;
  }
  gen::RunEnd end;
  end.task = ToWire(aRun.task);
  end.run = static_cast<int32_t>(aRun.attempt.Value());
  end.worker = aWorker.Value();
  end.kind = static_cast<int32_t>(aKind);
  end.checkpoint = aCheckpoint;
  end.evidence = static_cast<int32_t>(aEvidence);
  end.stopReason = static_cast<int32_t>(aReason);
  if (mProposedEnds.insert(aRun).second) {
    mCommand.ends.push_back(std::move(end));
    return true;
  }
  auto queued =
    std::find_if(mCommand.ends.begin(), mCommand.ends.end(), [&](auto& it) {
      return it.task == end.task && it.run == end.run;
    });
  if (aKind != EndKind::kDone || queued == mCommand.ends.end()) {
    return false;
  }
  *queued = std::move(end);
  return true;
}

void
Proposals::ProposeStart(const RunRef& aRun,
                        const WorkerId& aWorker,
                        Incarnation aIncarnation)
{
  gen::RunStart start;
  start.task = ToWire(aRun.task);
  start.run = static_cast<int32_t>(aRun.attempt.Value());
  start.worker = aWorker.Value();
  start.incarnation = static_cast<int64_t>(aIncarnation.Value());
  mCommand.starts.push_back(std::move(start));
}

void
Proposals::ProposeSpeed(const Worker& aWorker, double aSpeed)
{
  gen::WorkerSpeed speed;
  speed.worker = aWorker.report.id.Value();
  speed.incarnation = static_cast<int64_t>(aWorker.report.incarnation.Value());
  speed.permille = static_cast<int32_t>(std::lround(aSpeed * 1000));
  mCommand.speeds.push_back(std::move(speed));
}

void
Proposals::Requeue(gen::Command aCommand)
{
  auto prepend = [](auto& aInto, auto& aEarlier) {
    std::move(aInto.begin(), aInto.end(), std::back_inserter(aEarlier));
    aInto = std::move(aEarlier);
  };
  prepend(mCommand.workers, aCommand.workers);
  prepend(mCommand.gone, aCommand.gone);
  prepend(mCommand.ends, aCommand.ends);
  prepend(mCommand.starts, aCommand.starts);
  prepend(mCommand.speeds, aCommand.speeds);
}

bool
Proposals::Empty() const
{
  return mCommand.workers.empty() && mCommand.gone.empty() &&
         mCommand.ends.empty() && mCommand.starts.empty();
}

} // namespace limpetwood::fleet
