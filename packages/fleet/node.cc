#include "fleet/node.h"

#include "base/error.h"
#include "fleet/change_event.h"
#include "fleet/membership_plan.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

using replication::ProposeOutcome;

// Interval of the leader's periodic maintenance: membership changes and removal
// of old jobs.
constexpr Millis kMaintenanceInterval(200);
// Minimum time between two proposals as a multiple of the duration of the tick
// that made the first: such ticks use at most two fifths of the time.
constexpr int64_t kProposalIntervalPercent = 250;
// Bound of that time, so that one stall of the disk does not delay what follows
// it.
constexpr Millis kMaxProposalInterval(100);
// How long proposals wait for a voter to receive the whole log before the
// leader stops.
constexpr Millis kMaxHandOverPause(250);
// Stands for the time since an earlier leader after a restart; long enough that
// no stored capacity is trusted.
constexpr Millis kUnknownSilence = Minutes(60);

} // namespace

Node::Node(NodeOptions aOptions, NodeEnvironment& aEnvironment)
  : mOptions(std::move(aOptions))
  , mEnvironment(aEnvironment)
{
}

Result<std::unique_ptr<Node>>
Node::Open(NodeOptions aOptions, NodeEnvironment& aEnvironment)
{
  std::unique_ptr<Node> node(new Node(std::move(aOptions), aEnvironment));
  auto send = [&aEnvironment](const InstanceId& aTo, std::string aBytes) {
    aEnvironment.SendReplication(aTo, std::move(aBytes));
  };
  auto opened = replication::Group::Open(node->mOptions.group, *node, send);
  if (!opened) {
    return opened.Error();
  }
  node->mGroup = std::move(opened).Value();
  replication::GroupStatus status = node->mGroup->Status();
  aEnvironment.Log(LogEvent("replica_opened")
                     .Add("formed", status.formed)
                     .Add("repairing", status.repairing)
                     .Add("term", status.term)
                     .Add("last_index", status.lastIndex)
                     .Add("snapshot_index", status.snapshotIndex));
  return node;
}

std::string
Node::Apply(uint64_t aIndex, std::string_view aCommand)
{
  auto command = Decode<gen::Command>(aCommand);
  if (!command) {
    // Every replica rejects the same bytes, so the states stay equal.
    mEnvironment.Log(
      LogEvent("command_unreadable").Add("error", command.Error().message()));
    return {};
  }
  mState.Apply(command.Value(), aIndex);
  NoteZoneRevision();
  return {};
}

bool
Node::Restore(std::string_view aSnapshot)
{
  bool restored = mState.Restore(aSnapshot);
  NoteZoneRevision();
  return restored;
}

void
Node::NoteZoneRevision()
{
  // While the replica is opened, the time is not known; the first tick follows.
  if (mGroup) {
    mZoneRevisions.Note(mNow, mState.ZoneRevision());
  }
}

void
Node::OnReplication(const InstanceId& aFrom,
                    std::string_view aBytes,
                    Millis aNow)
{
  mNow = aNow;
  mGroup->Receive(aFrom, aBytes, aNow);
}

void
Node::OnOrderResult(const Order& aOrder,
                    const OrderResult& aResult,
                    Millis aNow)
{
  if (mDispatcher && aOrder.token.Value() == mGroup->Term()) {
    mDispatcher->OnResult(aOrder, aResult, aNow);
  }
}

void
Node::UpdateLeadership(Millis aNow)
{
  if (mDispatcher && mGroup->Term() != mTerm) {
    StopLeading();
    mDispatcher.reset();
    ++mGeneration;
  }
  if (!mGroup->IsLeader(aNow)) {
    StopLeading();
    if (mConfirming) {
      mConfirming = false;
      ++mGeneration;
    }
    return;
  }
  if (mLeading || mConfirming) {
    return;
  }
  if (mDispatcher) {
    // The leader lease lapsed within the term, so no other replica has led
    // since.
    StartLeading();
    return;
  }
  // The state is up to date once a read in this term has succeeded.
  mConfirming = true;
  uint64_t generation = ++mGeneration;
  mGroup->Read(aNow, [this, generation](std::error_code ec) {
    if (generation != mGeneration) {
      return;
    }
    mConfirming = false;
    if (ec) {
      return;
    }
    mState.TakeChanges();
    mEndedJobs.clear();
    for (const auto& [id, job] : mState.Jobs()) {
      if (job.Ended()) {
        mEndedJobs.emplace_back(mNow, id);
      }
    }
    for (const auto& [id, workspace] : mState.RefusedJobs()) {
      mEndedJobs.emplace_back(mNow, id);
    }
    mTerm = mGroup->Term();
    Millis silence = mLeaderKnownAt ? mNow - *mLeaderKnownAt : kUnknownSilence;
    mDispatcher = std::make_unique<Dispatcher>(
      mOptions.dispatcher, mState, FencingToken(mTerm), mNow, silence);
    StartLeading();
  });
}

void
Node::StartLeading()
{
  mLeading = true;
  ++mCounters.leaderships;
  mEnvironment.Log(LogEvent("leading")
                     .Add("term", mTerm)
                     .Add("jobs", mState.LiveJobs().size())
                     .Add("workers", mState.Workers().size())
                     .Add("configuration", mState.Version()));
}

void
Node::StopLeading()
{
  if (!mLeading) {
    return;
  }
  mLeading = false;
  mEnvironment.Log(LogEvent("leadership_lost")
                     .Add("term", mTerm)
                     .Add("requests_refused", mBatch.completions.size()));
  Batch unsent = std::exchange(mBatch, {});
  ForgetLater(unsent.command);
  for (auto& it : unsent.completions) {
    it(Verdict::kNotRun);
  }
}

void
Node::Propose(Millis aNow)
{
  if (mDispatcher->HasCommand()) {
    gen::Command dispatched = mDispatcher->TakeCommand();
    gen::Command& into = mBatch.command;
    into.workers = std::move(dispatched.workers);
    into.gone = std::move(dispatched.gone);
    into.ends = std::move(dispatched.ends);
    into.starts = std::move(dispatched.starts);
    into.speeds = std::move(dispatched.speeds);
  }
  gen::Command& command = mBatch.command;
  bool idle = !command.__isset.configuration && command.jobs.empty() &&
              command.cancelled.empty() && command.refused.empty() &&
              command.workers.empty() && command.gone.empty() &&
              command.ends.empty() && command.starts.empty() &&
              command.forgotten.empty() && command.zoneOrders.empty();
  if (idle) {
    // The remaining callbacks wait for a change that an earlier batch contains,
    // whose outcome is not known here.
    for (auto& it : std::exchange(mBatch.completions, {})) {
      it(Verdict::kMayHaveRun);
    }
    return;
  }
  command.atMs = mWallNow.Count();
  mProposedAt = aNow;
  ++mCounters.proposals;
  std::string bytes = Encode(command);
  auto batch = std::make_shared<Batch>(std::exchange(mBatch, {}));
  mGroup->Propose(
    std::move(bytes),
    aNow,
    [this, batch, aNow, generation = mGeneration](ProposeOutcome aOutcome) {
      mCounters.commitLatency.Observe(mNow - aNow);
      bool current = mDispatcher && generation == mGeneration;
      if (current && aOutcome.verdict == Verdict::kAnswered) {
        mDispatcher->OnCommitted(batch->command, mNow);
      } else if (current && aOutcome.verdict == Verdict::kNotRun) {
        ForgetLater(batch->command);
        mDispatcher->Requeue(std::move(batch->command));
      }
      for (auto& it : batch->completions) {
        it(aOutcome.verdict);
      }
    });
}

void
Node::Tick(Millis aNow, Millis aWallNow)
{
  mNow = aNow;
  mWallNow = aWallNow;
  auto leader = mGroup->Leader();
  if (mLeading || (leader && *leader != mOptions.group.self)) {
    mLeaderKnownAt = aNow;
  }
  UpdateLeadership(aNow);
  if (mLeading) {
    Millis startTime = mEnvironment.CostClock();
    mDispatcher->Tick(aNow, aWallNow);
    Millis duration = mEnvironment.CostClock() - startTime;
    mDispatcher->OnTickDuration(duration);
    mCounters.decisionTimes.Observe(duration);
    mProposedAt.reset();
    if (aNow >= mEarliestProposal) {
      Propose(aNow);
    }
  }
  mGroup->Tick(aNow);
  NoteZoneRevision();
  if (mHandingOver) {
    HandOver(aNow);
  }
  UpdateLeadership(aNow);
  if (!mDispatcher) {
    mState.TakeChanges();
  }
  if (!mLeading) {
    return;
  }
  for (Order& it : mDispatcher->TakeOrders()) {
    mEnvironment.SendOrder(std::move(it));
  }
  for (const LogEvent& it : mDispatcher->TakeEvents()) {
    mEnvironment.Log(it);
  }
  HandleChanges();
  if (aNow >= mNextMaintenance) {
    mNextMaintenance = aNow + kMaintenanceInterval;
    RepairMembership(aNow);
    ForgetJobs(aNow);
  }
}

void
Node::OnTickDuration(Millis aDuration)
{
  if (mProposedAt) {
    mEarliestProposal =
      *mProposedAt + std::min(aDuration * kProposalIntervalPercent / 100,
                              kMaxProposalInterval);
  }
}

Millis
Node::NextTick() const
{
  Millis next = mGroup->NextTick();
  if (mLeading) {
    next = std::min({ next, mDispatcher->NextTick(), mNextMaintenance });
    if (mDispatcher->HasCommand() || !mBatch.completions.empty()) {
      next = std::min(next, std::max(mNow, mEarliestProposal));
    }
  }
  return next;
}

void
Node::HandleChanges()
{
  std::vector<Change> changes = mState.TakeChanges();
  if (!changes.empty()) {
    mDispatcher->OnChanged();
  }
  for (const Change& it : changes) {
    if (auto event = LogEventFor(it, mState)) {
      mEnvironment.Log(*event);
    }
    if (it.kind == Change::Kind::kJobAccepted) {
      ++mCounters.jobsAccepted;
    } else if (it.kind == Change::Kind::kJobEnded) {
      mDispatcher->OnJobEnded(it.run.task.job, mNow);
      mEndedJobs.emplace_back(mNow, it.run.task.job);
      if (const Job* job = mState.FindJob(it.run.task.job)) {
        mCounters.jobsCompleted += job->status == JobStatus::kCompleted;
        mCounters.jobsFailed += job->status == JobStatus::kFailed;
        mCounters.jobsCancelled += job->status == JobStatus::kCancelled;
      }
    }
    mCounters.zonesEvacuated += it.kind == Change::Kind::kZoneEvacuated ? 1 : 0;
    mCounters.zonesRestored += it.kind == Change::Kind::kZoneRestored ? 1 : 0;
  }
}

void
Node::ForgetJobs(Millis aNow)
{
  while (!mEndedJobs.empty() &&
         aNow - mEndedJobs.front().first > mOptions.endedJobRetention) {
    JobId id = std::move(mEndedJobs.front().second);
    mEndedJobs.pop_front();
    const Job* job = mState.FindJob(id);
    // A job that was refused again later is forgotten with its last refusal.
    bool refusedLater =
      mState.IsRefused(id) &&
      std::any_of(mEndedJobs.begin(), mEndedJobs.end(), [&](const auto& it) {
        return it.second == id;
      });
    if (refusedLater || (job == nullptr && !mState.IsRefused(id))) {
      continue;
    }
    if (job != nullptr && job->activeRuns > 0) {
      mEndedJobs.emplace_back(aNow, std::move(id));
      continue;
    }
    mBatch.command.forgotten.push_back(id.Value());
  }
}

void
Node::ForgetLater(const gen::Command& aCommand)
{
  for (const std::string& it : aCommand.forgotten) {
    mEndedJobs.emplace_front(Millis(0), JobId(it));
  }
}

void
Node::RepairMembership(Millis aNow)
{
  if (mMembershipInFlight || mHandingOver) {
    return;
  }
  replication::GroupStatus status = mGroup->Status();
  auto step = NextMembershipStep(
    status, { .toleratedFailures = mOptions.toleratedFailures }, aNow);
  if (!step) {
    return;
  }
  mMembershipInFlight = true;
  ++mCounters.membershipChanges;
  auto done = [this](ProposeOutcome) { mMembershipInFlight = false; };
  std::string_view name;
  switch (step->change) {
    case replication::MembershipChange::kAddLearner:
      name = "admit";
      mGroup->AddLearner(step->member, aNow, done);
      break;
    case replication::MembershipChange::kPromote:
      name = "promote";
      mGroup->Promote(step->member, aNow, done);
      break;
    case replication::MembershipChange::kRemove:
      name = "remove";
      mGroup->Remove(step->member, aNow, done);
      break;
  }
  mEnvironment.Log(LogEvent("membership_change")
                     .Add("change", name)
                     .Add("member", step->member.instance)
                     .Add("voters", status.membership.voters.size()));
}

void
Node::PrepareShutdown(Millis aNow)
{
  mHandingOver = true;
  mEarliestProposal = aNow + kMaxHandOverPause;
  HandOver(aNow);
}

void
Node::HandOver(Millis aNow)
{
  if (!mLeading) {
    return;
  }
  replication::GroupStatus status = mGroup->Status();
  // Stops at the first voter with the whole log for which the transfer starts
  // without an error.
  for (const replication::PeerStatus& it : status.peers) {
    if (it.voter && it.matchIndex == status.lastIndex &&
        !mGroup->Transfer(it.member, aNow)) {
      return;
    }
  }
}

} // namespace limpetwood::fleet
