// The crashes of workers under the tasks of one job, by which a job that
// crashes its workers is told from one that ran on a faulty worker.
//
// Operations may be applied again, late and in any order: the result is the
// same.

#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace limpetwood::model {

struct WorkerCrash
{
  Attempt attempt;
  MemberIndex member;
  WorkerId worker;
  // The worker was not seen alive later than shortly after the task's start.
  bool afterStart = false;
  // No task of another job ran on the worker.
  bool alone = false;

  bool operator==(const WorkerCrash&) const = default;
};

// Numbers of crashes after which a job is given up, for each member of its
// gang: the first two count distinct workers, the last one counts crashes.
struct CrashLimits
{
  uint32_t aloneAfterStart = 2;
  uint32_t afterStart = 3;
  uint32_t total = 5;
};

class CrashHistory
{
public:
  // Returns false if the crash is recorded already or is one of an attempt
  // before `SoundAttempt`.
  bool Add(WorkerCrash aCrash);

  // Removes the crashes of all earlier attempts, because this one has run long
  // enough. Returns false if a later attempt has done so before.
  bool ClearBefore(Attempt aAttempt);

  // Returns true if the crashes under any member reach one of the limits.
  bool Reaches(const CrashLimits& aLimits) const;

  // In the order in which they were added.
  const std::vector<WorkerCrash>& Crashes() const { return mCrashes; }
  Attempt SoundAttempt() const { return mSoundAttempt; }

  bool operator==(const CrashHistory&) const = default;

private:
  // At most one for each attempt and member, and none of an attempt before
  // `mSoundAttempt`.
  std::vector<WorkerCrash> mCrashes;
  Attempt mSoundAttempt;
};

} // namespace limpetwood::model
