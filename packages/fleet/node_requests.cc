// Answers the requests of callers, workers and operators from the committed
// state, and collects the changes that they ask for in the current batch.

#include "fleet/admission.h"
#include "fleet/job_limits.h"
#include "fleet/node.h"

#include <algorithm>
#include <cctype>

namespace limpetwood::fleet {

namespace {

constexpr size_t kJobIdLength = 16;
// Bounds the memory for cancellations of unknown jobs, to about 2 MB.
constexpr size_t kMaxRefusedJobs = 10'000;

bool
IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdLength &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char it) {
           return std::isxdigit(it) != 0;
         });
}

} // namespace

gen::Reply
Node::MakeReply(RequestOutcome aOutcome) const
{
  gen::Reply reply;
  reply.outcome = static_cast<int32_t>(aOutcome);
  return reply;
}

void
Node::Answer(const ReplyCallback& aDone, gen::Reply aReply)
{
  ++mCounters.outcomes[static_cast<size_t>(aReply.outcome)];
  aDone(std::move(aReply));
}

void
Node::Answer(const ReplyCallback& aDone, RequestOutcome aOutcome)
{
  Answer(aDone, MakeReply(aOutcome));
}

void
Node::AnswerAfterCommit(ReplyCallback aDone, RequestOutcome aCommitted)
{
  mBatch.completions.emplace_back(
    [this, aCommitted, done = std::move(aDone)](Verdict aVerdict) {
      RequestOutcome outcome = RequestOutcome::kMayHaveRun;
      if (aVerdict == Verdict::kAnswered) {
        outcome = aCommitted;
      } else if (aVerdict == Verdict::kNotRun) {
        outcome = RequestOutcome::kNotLeader;
      }
      Answer(done, outcome);
    });
}

void
Node::Handle(const gen::Request& aRequest, Millis aNow, ReplyCallback aDone)
{
  mNow = aNow;
  auto kind = static_cast<RequestKind>(aRequest.kind);
  bool leading = mLeading && mGroup->IsLeader(aNow);
  // Pings, and all requests to a replica that does not lead, are answered with
  // the leader, the voters, the version and the limits.
  if (!leading || kind == RequestKind::kPing) {
    gen::Reply reply =
      MakeReply(leading ? RequestOutcome::kOk : RequestOutcome::kNotLeader);
    if (auto leader = mGroup->Leader()) {
      reply.leader = leader->Value();
    }
    for (const auto& it : mGroup->Status().membership.voters) {
      reply.members.push_back(it.instance.Value());
    }
    reply.version = static_cast<int64_t>(mState.Version().Value());
    if (mState.Config()) {
      reply.__set_limits(ToWire(mState.Config()->limits));
    }
    Answer(aDone, std::move(reply));
    return;
  }
  switch (kind) {
    case RequestKind::kPing:
      break;
    case RequestKind::kSubmit:
      OnSubmit(aRequest, std::move(aDone));
      break;
    case RequestKind::kRead:
      OnRead(aRequest, aDone);
      break;
    case RequestKind::kCancel:
      OnCancel(aRequest, std::move(aDone));
      break;
    case RequestKind::kReport:
    case RequestKind::kLeave:
      OnReport(aRequest, std::move(aDone));
      break;
    case RequestKind::kPutConfiguration:
      OnPutConfiguration(aRequest, std::move(aDone));
      break;
    case RequestKind::kGetConfiguration:
      OnGetConfiguration(aDone);
      break;
    case RequestKind::kEvacuateZone:
    case RequestKind::kRestoreZone:
      OnZoneOrder(aRequest, std::move(aDone));
      break;
    default:
      Answer(aDone, RequestOutcome::kInvalid);
      break;
  }
}

Node::Target
Node::FindTarget(const gen::Request& aRequest) const
{
  Target out;
  if (!mState.Config()) {
    out.outcome = RequestOutcome::kUnavailable;
    return out;
  }
  out.queue = mState.FindQueue(aRequest.host, aRequest.path);
  if (out.queue == nullptr) {
    out.outcome = RequestOutcome::kUnknownQueue;
    return out;
  }
  out.workspace = mState.FindWorkspaceByKey(aRequest.key);
  if (!out.queue->isPublic && out.workspace == nullptr) {
    out.outcome = RequestOutcome::kUnauthorized;
    return out;
  }
  out.job =
    JobId(std::string_view(aRequest.path).substr(out.queue->prefix.size()));
  // A path that continues with anything but a job id belongs to no queue.
  if (!out.job.empty() && !IsJobId(out.job.Value())) {
    out.outcome = RequestOutcome::kUnknownQueue;
  }
  return out;
}

const Job*
Node::FindJobFor(const Target& aTarget) const
{
  const Job* job = mState.FindJob(aTarget.job);
  if (job == nullptr) {
    return nullptr;
  }
  bool ownJob =
    aTarget.workspace != nullptr && job->workspace == aTarget.workspace->name;
  bool publicJob = aTarget.queue->isPublic && job->queue == aTarget.queue->name;
  return ownJob || publicJob ? job : nullptr;
}

void
Node::OnSubmit(const gen::Request& aRequest, ReplyCallback aDone)
{
  Target target = FindTarget(aRequest);
  if (target.outcome != RequestOutcome::kOk) {
    Answer(aDone, target.outcome);
    return;
  }
  bool valid = !target.job.empty() && aRequest.__isset.job &&
               IsWithinLimits(FromWire(aRequest.job));
  if (!valid) {
    Answer(aDone, RequestOutcome::kInvalid);
    return;
  }
  // The submission was repeated, such as after a lost answer, or another
  // workspace has the id.
  if (mState.FindJob(target.job) != nullptr) {
    Answer(aDone,
           FindJobFor(target) != nullptr ? RequestOutcome::kOk
                                         : RequestOutcome::kNoSuchJob);
    return;
  }
  WorkspaceId workspace = target.WorkspaceName();
  if (mState.IsRefused(target.job, workspace, target.queue->name)) {
    mEnvironment.Log(LogEvent("job_refused")
                       .Add("job", target.job)
                       .Add("queue", target.queue->name)
                       .Add("reason", "cancelled_before_submission")
                       .Add("configuration", mState.Version()));
    Answer(aDone, RequestOutcome::kNoSuchJob);
    return;
  }
  gen::SubmitJob job;
  job.id = target.job.Value();
  job.queue = target.queue->name.Value();
  job.workspace = workspace.Value();
  job.serviceId = target.queue->service.Value();
  job.spec = aRequest.job;
  job.acceptedAtMs = mWallNow.Count();
  job.priority = target.queue->priority;
  job.maxAttempts = static_cast<int32_t>(target.queue->maxAttempts);
  job.stretch = target.queue->stretch;
  job.targetLatencyMs = target.queue->targetLatency.Count();
  // A repeated submission of a job whose first copy is not committed yet must
  // not be refused.
  AdmissionVerdict verdict;
  if (!mSubmitting.contains(job.id)) {
    verdict = Admit(FleetState::JobFromSubmission(job),
                    { .state = &mState,
                      .forecast = &mDispatcher->GetForecast(),
                      .usable = mDispatcher->UsableResources(mNow) });
  }
  if (!verdict.accepted) {
    gen::Reply reply = MakeReply(RequestOutcome::kRejected);
    reply.retryAfterMs = verdict.retryAfter.Count();
    mEnvironment.Log(LogEvent("job_refused")
                       .Add("job", job.id)
                       .Add("queue", job.queue)
                       .Add("reason", "late_beyond_worth")
                       .Add("expected_ms", verdict.expectedLatency)
                       .Add("worthless_after_ms", verdict.maxUsefulLatency)
                       .Add("usable_accelerators",
                            mDispatcher->UsableResources(mNow).accelerators)
                       .Add("retry_after_ms", reply.retryAfterMs)
                       .Add("configuration", mState.Version()));
    Answer(aDone, std::move(reply));
    return;
  }
  mSubmitting.insert(job.id);
  AnswerAfterCommit(
    [this, id = job.id, workspace, done = std::move(aDone)](gen::Reply aReply) {
      mSubmitting.erase(id);
      const Job* stored = mState.FindJob(JobId(id));
      // A cancellation, or another workspace's job, was committed first.
      if (aReply.outcome == static_cast<int32_t>(RequestOutcome::kOk) &&
          (stored == nullptr || stored->workspace != workspace)) {
        aReply.outcome = static_cast<int32_t>(RequestOutcome::kNoSuchJob);
      }
      done(std::move(aReply));
    });
  mBatch.command.jobs.push_back(std::move(job));
}

void
Node::OnRead(const gen::Request& aRequest, const ReplyCallback& aDone)
{
  Target target = FindTarget(aRequest);
  if (target.outcome != RequestOutcome::kOk) {
    Answer(aDone, target.outcome);
    return;
  }
  gen::Reply reply = MakeReply(RequestOutcome::kOk);
  if (target.job.empty()) {
    for (const JobId& it : mState.LiveJobs()) {
      const Job& job = *mState.FindJob(it);
      bool waits = job.queue == target.queue->name && !job.Ended() &&
                   !mDispatcher->HasBegun(job);
      reply.count += waits ? 1 : 0;
    }
    // No job status, because the answer is about a queue.
    reply.jobStatus = -1;
    Answer(aDone, std::move(reply));
    return;
  }
  const Job* job = FindJobFor(target);
  if (job == nullptr) {
    Answer(aDone, RequestOutcome::kNoSuchJob);
    return;
  }
  reply.jobStatus = static_cast<int32_t>(job->status);
  reply.text = job->reason;
  Answer(aDone, std::move(reply));
}

void
Node::OnCancel(const gen::Request& aRequest, ReplyCallback aDone)
{
  Target target = FindTarget(aRequest);
  if (target.outcome != RequestOutcome::kOk) {
    Answer(aDone, target.outcome);
    return;
  }
  if (target.job.empty()) {
    Answer(aDone, RequestOutcome::kNoSuchJob);
    return;
  }
  const Job* job = FindJobFor(target);
  // The job may be in a batch that is not committed yet. If another workspace
  // has a job with the id, that job may be forgotten before the submission of
  // this workspace arrives.
  if (job == nullptr) {
    RefuseJob(target, std::move(aDone));
    return;
  }
  if (job->Ended()) {
    Answer(aDone, RequestOutcome::kOk);
    return;
  }
  mBatch.command.cancelled.push_back(target.job.Value());
  AnswerAfterCommit(std::move(aDone));
}

void
Node::RefuseJob(const Target& aTarget, ReplyCallback aDone)
{
  if (mState.IsRefused(
        aTarget.job, aTarget.WorkspaceName(), aTarget.queue->name)) {
    Answer(aDone, RequestOutcome::kNoSuchJob);
    return;
  }
  if (mState.RefusedJobs().size() >= kMaxRefusedJobs) {
    Answer(aDone, RequestOutcome::kUnavailable);
    return;
  }
  gen::RefusedJob refused;
  refused.id = aTarget.job.Value();
  refused.workspace = aTarget.WorkspaceName().Value();
  mBatch.command.refused.push_back(refused);
  // The jobs of a public queue can be cancelled by all of its callers.
  if (aTarget.queue->isPublic && !refused.workspace.empty()) {
    refused.workspace.clear();
    mBatch.command.refused.push_back(std::move(refused));
  }
  // The callback runs when the state contains the refusal, which is forgotten
  // like an ended job.
  AnswerAfterCommit(
    [this, id = aTarget.job, done = std::move(aDone)](gen::Reply aReply) {
      mEndedJobs.emplace_back(mNow, id);
      done(std::move(aReply));
    },
    RequestOutcome::kNoSuchJob);
}

void
Node::OnReport(const gen::Request& aRequest, ReplyCallback aDone)
{
  if (!aRequest.__isset.worker) {
    Answer(aDone, RequestOutcome::kInvalid);
    return;
  }
  WorkerReport report = FromWire(aRequest.worker);
  bool leave = static_cast<RequestKind>(aRequest.kind) == RequestKind::kLeave;
  bool changes = leave
                   ? mDispatcher->OnLeave(report.id, report.incarnation, mNow)
                   : mDispatcher->OnReport(report, mNow);
  if (changes) {
    AnswerAfterCommit(std::move(aDone));
  } else {
    Answer(aDone, RequestOutcome::kOk);
  }
}

void
Node::OnPutConfiguration(const gen::Request& aRequest, ReplyCallback aDone)
{
  if (!aRequest.__isset.configuration) {
    Answer(aDone, RequestOutcome::kInvalid);
    return;
  }
  auto version = static_cast<uint64_t>(aRequest.configuration.version);
  mEnvironment.Log(LogEvent("configuration_received")
                     .Add("version", version)
                     .Add("in_force", mState.Version()));
  // A repeated or outdated configuration is acknowledged and changes nothing.
  if (version <= mState.Version().Value()) {
    Answer(aDone, RequestOutcome::kOk);
    return;
  }
  // A batch carries one configuration; the highest version wins regardless of
  // the order.
  bool newest =
    !mBatch.command.__isset.configuration ||
    mBatch.command.configuration.version < aRequest.configuration.version;
  if (newest) {
    mBatch.command.__set_configuration(aRequest.configuration);
  }
  AnswerAfterCommit(std::move(aDone));
}

void
Node::OnGetConfiguration(const ReplyCallback& aDone)
{
  if (!mState.Config()) {
    Answer(aDone, RequestOutcome::kUnavailable);
    return;
  }
  gen::Reply reply = MakeReply(RequestOutcome::kOk);
  reply.text = mState.Config()->text;
  reply.version = static_cast<int64_t>(mState.Version().Value());
  Answer(aDone, std::move(reply));
}

bool
Node::IsKnownZone(const ZoneId& aZone) const
{
  return mOptions.zones.contains(aZone) || mState.IsEvacuated(aZone) ||
         std::any_of(mState.Workers().begin(),
                     mState.Workers().end(),
                     [&](const auto& aEntry) {
                       return aEntry.second.report.zone == aZone;
                     });
}

void
Node::OnZoneOrder(const gen::Request& aRequest, ReplyCallback aDone)
{
  if (!IsKnownZone(ZoneId(aRequest.zone))) {
    Answer(aDone, RequestOutcome::kUnknownZone);
    return;
  }
  ZoneId zone(aRequest.zone);
  auto& orders = mZoneOrders[zone];
  orders.push_back({ aRequest, std::move(aDone) });
  if (orders.size() == 1) {
    ProposeNextZoneOrder(zone);
  }
}

void
Node::ProposeNextZoneOrder(const ZoneId& aZone)
{
  auto& orders = mZoneOrders[aZone];
  uint64_t latest = mState.ZoneRevisionOf(aZone);
  while (!orders.empty()) {
    const gen::Request& request = orders.front().request;
    if (!mLeading) {
      Answer(orders.front().done, RequestOutcome::kNotLeader);
    } else if (request.__isset.zoneRevision &&
               static_cast<uint64_t>(request.zoneRevision) < latest) {
      mEnvironment.Log(
        LogEvent("zone_order_may_be_outdated")
          .Add("order", RequestKindName(static_cast<RequestKind>(request.kind)))
          .Add("zone", aZone)
          .Add("known_revision", request.zoneRevision)
          .Add("zone_revision", latest));
      gen::Reply reply = MakeReply(RequestOutcome::kMayBeOutdated);
      reply.zoneRevision = static_cast<int64_t>(mState.ZoneRevision());
      Answer(orders.front().done, std::move(reply));
    } else {
      // Proposed even if the zone is in the requested state, so that an earlier
      // order that arrives late is refused.
      gen::ZoneOrder order;
      order.zone = request.zone;
      order.evacuate =
        static_cast<RequestKind>(request.kind) == RequestKind::kEvacuateZone;
      mBatch.command.zoneOrders.push_back(std::move(order));
      AnswerAfterCommit([this, aZone](gen::Reply aReply) {
        ZoneOrder ended = std::move(mZoneOrders[aZone].front());
        mZoneOrders[aZone].pop_front();
        ProposeNextZoneOrder(aZone);
        ended.done(std::move(aReply));
      });
      return;
    }
    orders.pop_front();
  }
  mZoneOrders.erase(aZone);
}

} // namespace limpetwood::fleet
