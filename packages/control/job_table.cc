#include "control/job_table.h"

#include <algorithm>

namespace limpetwood::control {

using model::IsFinal;
using model::JobState;

void
JobTable::Add(JobRecord aRecord)
{
  RestoreRecord(std::move(aRecord));
}

void
JobTable::RestoreRecord(JobRecord aRecord)
{
  if (!aRecord.key.empty()) {
    mJobsByKey.emplace(std::pair(aRecord.spec.workspace, aRecord.key),
                       aRecord.id);
  }
  JobId id = aRecord.id;
  auto [it, inserted] = mJobs.emplace(id, std::move(aRecord));
  JobRecord& record = it->second;
  if (IsFinal(record.state)) {
    mFinishedByEndTime.emplace(record.endedAt, record.id);
    return;
  }
  AddToActiveIndexes(record);
}

void
JobTable::AddToActiveIndexes(const JobRecord& aRecord)
{
  ++mActiveJobsByWorkspace[aRecord.spec.workspace];
  if (aRecord.zone.empty()) {
    mUnassigned.emplace(aRecord.submittedAt, aRecord.id);
    return;
  }
  mOrdersByZone[aRecord.zone].emplace(std::pair(aRecord.orderIndex, aRecord.id),
                                      &aRecord);
  mAssignedAccelerators[aRecord.zone] +=
    aRecord.spec.TotalAccelerators().Value();
}

void
JobTable::SetOrder(JobRecord& aRecord, uint64_t aIndex)
{
  auto& orders = mOrdersByZone[aRecord.zone];
  orders.erase({ aRecord.orderIndex, aRecord.id });
  aRecord.orderIndex = aIndex;
  orders.emplace(std::pair(aIndex, aRecord.id), &aRecord);
}

void
JobTable::RemoveOrder(const JobRecord& aRecord)
{
  mOrdersByZone[aRecord.zone].erase({ aRecord.orderIndex, aRecord.id });
  mAssignedAccelerators[aRecord.zone] -=
    aRecord.spec.TotalAccelerators().Value();
}

bool
JobTable::Assign(const JobId& aJob, const ZoneId& aZone, uint64_t aIndex)
{
  auto it = mJobs.find(aJob);
  if (it == mJobs.end() || IsFinal(it->second.state) ||
      !it->second.zone.empty()) {
    return false;
  }
  JobRecord& record = it->second;
  mUnassigned.erase({ record.submittedAt, record.id });
  record.zone = aZone;
  mAssignedAccelerators[aZone] += record.spec.TotalAccelerators().Value();
  SetOrder(record, aIndex);
  return true;
}

void
JobTable::Finish(JobRecord& aRecord,
                 JobState aState,
                 const std::string& aReason,
                 Millis aAt)
{
  if (aRecord.zone.empty()) {
    mUnassigned.erase({ aRecord.submittedAt, aRecord.id });
  } else {
    RemoveOrder(aRecord);
  }
  --mActiveJobsByWorkspace[aRecord.spec.workspace];
  aRecord.state = aState;
  aRecord.reason = aReason;
  aRecord.endedAt = aAt;
  mFinishedByEndTime.emplace(aAt, aRecord.id);
  if (mFinishedByEndTime.size() <= kMaxFinishedJobs) {
    return;
  }
  auto oldest = mFinishedByEndTime.begin();
  auto expiredJob = mJobs.find(oldest->second);
  mJobsByKey.erase(
    { expiredJob->second.spec.workspace, expiredJob->second.key });
  mJobs.erase(expiredJob);
  mFinishedByEndTime.erase(oldest);
}

void
JobTable::Unassign(JobRecord& aRecord)
{
  RemoveOrder(aRecord);
  aRecord.zone = ZoneId();
  aRecord.state = JobState::kQueued;
  mUnassigned.emplace(aRecord.submittedAt, aRecord.id);
}

bool
JobTable::ApplyEvent(const ZoneId& aZone,
                     const JobEvent& aEvent,
                     uint64_t aIndex)
{
  auto it = mJobs.find(aEvent.job);
  if (it == mJobs.end() || it->second.zone != aZone ||
      IsFinal(it->second.state)) {
    return false;
  }
  JobRecord& record = it->second;
  // Events of earlier attempts may arrive late or repeatedly.
  if (aEvent.attempt < record.attempt) {
    return false;
  }
  if (!aEvent.checkpoint.empty()) {
    record.checkpoint = aEvent.checkpoint;
  }
  switch (aEvent.kind) {
    case JobEventKind::kStarting:
      if (aEvent.attempt == record.attempt) {
        return false;
      }
      record.attempt = aEvent.attempt;
      record.state = JobState::kStarting;
      return true;
    case JobEventKind::kRunning:
      if (aEvent.attempt != record.attempt ||
          record.state == JobState::kRunning) {
        return false;
      }
      record.state = JobState::kRunning;
      record.startedAt = aEvent.at;
      return true;
    case JobEventKind::kRequeued:
      record.state = JobState::kQueued;
      record.reason = aEvent.reason;
      return true;
    case JobEventKind::kSucceeded:
      Finish(record, JobState::kSucceeded, aEvent.reason, aEvent.at);
      return true;
    case JobEventKind::kFailed:
      Finish(record, JobState::kFailed, aEvent.reason, aEvent.at);
      return true;
    case JobEventKind::kCancelled:
      Finish(record, JobState::kCancelled, aEvent.reason, aEvent.at);
      return true;
    case JobEventKind::kImpossible:
      Finish(record, JobState::kImpossible, aEvent.reason, aEvent.at);
      return true;
    case JobEventKind::kCheckpointed:
      return true;
    case JobEventKind::kWorkerCrashed:
      return aEvent.crash && record.crashes.Add(*aEvent.crash);
    case JobEventKind::kSound:
      return record.crashes.ClearBefore(aEvent.attempt);
    case JobEventKind::kReturned:
      Unassign(record);
      record.reason = aEvent.reason;
      if (record.cancelRequested) {
        Finish(record, JobState::kCancelled, "cancelled", aEvent.at);
      }
      return true;
  }
  (void)aIndex;
  return false;
}

bool
JobTable::Cancel(const JobId& aJob, uint64_t aIndex)
{
  auto it = mJobs.find(aJob);
  if (it == mJobs.end() || IsFinal(it->second.state)) {
    return false;
  }
  JobRecord& record = it->second;
  record.cancelRequested = true;
  if (record.zone.empty()) {
    // The command carries no time, and replicas must not read a clock, so the
    // submission time takes the place of the end time.
    Finish(record, JobState::kCancelled, "cancelled", record.submittedAt);
  } else {
    SetOrder(record, aIndex);
  }
  return true;
}

size_t
JobTable::UnassignJobsOf(const ZoneId& aZone)
{
  std::vector<JobId> jobs;
  for (const auto& [key, record] : mOrdersByZone[aZone]) {
    jobs.push_back(record->id);
  }
  for (const JobId& id : jobs) {
    JobRecord& record = mJobs.at(id);
    if (record.cancelRequested) {
      // As in `Cancel`, there is no end time.
      Finish(record, JobState::kCancelled, "cancelled", record.submittedAt);
    } else {
      Unassign(record);
      record.reason = "zone_fenced";
    }
  }
  return jobs.size();
}

const JobRecord*
JobTable::Find(const JobId& aJob) const
{
  auto it = mJobs.find(aJob);
  return it == mJobs.end() ? nullptr : &it->second;
}

const JobRecord*
JobTable::FindByKey(const WorkspaceId& aWorkspace,
                    const IdempotencyKey& aKey) const
{
  auto it = mJobsByKey.find({ aWorkspace, aKey });
  return it == mJobsByKey.end() ? nullptr : Find(it->second);
}

std::vector<const JobRecord*>
JobTable::OrdersFor(const ZoneId& aZone, uint64_t aAfter, size_t aLimit) const
{
  std::vector<const JobRecord*> orders;
  auto zone = mOrdersByZone.find(aZone);
  if (zone == mOrdersByZone.end()) {
    return orders;
  }
  auto it = zone->second.lower_bound({ aAfter + 1, JobId() });
  // Authorities acknowledge orders by log index alone, so all orders of one
  // index must be in the same message.
  uint64_t last = 0;
  for (; it != zone->second.end(); ++it) {
    if (orders.size() >= aLimit && it->first.first != last) {
      break;
    }
    last = it->first.first;
    orders.push_back(it->second);
  }
  return orders;
}

uint32_t
JobTable::ActiveJobs(const WorkspaceId& aWorkspace) const
{
  auto it = mActiveJobsByWorkspace.find(aWorkspace);
  return it == mActiveJobsByWorkspace.end() ? 0 : it->second;
}

uint64_t
JobTable::AssignedAccelerators(const ZoneId& aZone) const
{
  auto it = mAssignedAccelerators.find(aZone);
  return it == mAssignedAccelerators.end() ? 0 : it->second;
}

} // namespace limpetwood::control
