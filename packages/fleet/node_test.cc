// Tests of nodes on in-memory disks: a group of one replica, and a group of
// three.

#include "fleet/node.h"

#include "base/error.h"
#include "replication/memory_disk.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace limpetwood::fleet {
namespace {

constexpr const char* kJob = "00000000000000a1";

gen::Request
ConfigurationRequest()
{
  gen::Request request;
  request.kind = static_cast<int32_t>(RequestKind::kPutConfiguration);
  gen::Configuration configuration;
  configuration.version = 1;
  configuration.text = "text";
  gen::Queue queue;
  queue.name = "queue";
  queue.host = "host";
  queue.prefix = "/q/";
  queue.serviceId = "service";
  queue.maxAttempts = 1;
  configuration.queues.push_back(queue);
  gen::Workspace workspace;
  workspace.name = "workspace";
  workspace.keys = { "key" };
  configuration.workspaces.push_back(workspace);
  request.__set_configuration(configuration);
  return request;
}

gen::Request
RequestFor(RequestKind aKind,
           const std::string& aPath,
           const std::string& aKey = "key")
{
  gen::Request request;
  request.kind = static_cast<int32_t>(aKind);
  request.host = "host";
  request.path = aPath;
  request.key = aKey;
  if (aKind == RequestKind::kSubmit) {
    gen::JobSpec job;
    job.steps.emplace_back().tasks = 1;
    request.__set_job(job);
  }
  return request;
}

gen::Request
ReportRequest(Millis aNow)
{
  WorkerReport report;
  report.id = WorkerId("w1");
  report.incarnation = Incarnation(1);
  report.address = "127.0.0.1:1";
  report.service = ServiceId("service");
  report.zone = ZoneId("z1");
  report.capacity = { .cpu = 64'000, .memoryMb = 256'000, .accelerators = 8 };
  report.sequence = 1;
  report.clock = aNow;
  gen::Request request;
  request.kind = static_cast<int32_t>(RequestKind::kReport);
  request.__set_worker(ToWire(report));
  return request;
}

class TestEnvironment : public NodeEnvironment
{
public:
  void SendReplication(const InstanceId& /*aTo*/,
                       std::string /*aBytes*/) override
  {
  }
  void SendOrder(Order /*aOrder*/) override {}
  void Log(const LogEvent& aEvent) override
  {
    events.push_back(aEvent.JsonMembers());
  }

  std::vector<std::string> events;
};

class NodeTest : public testing::Test
{
protected:
  void Open()
  {
    NodeOptions options;
    options.group.self = InstanceId("a");
    options.group.folder = "folder";
    options.group.voters = { InstanceId("a") };
    options.group.disk = &mDisk;
    options.group.snapshotEntries = mSnapshotEntries;
    options.toleratedFailures = 0;
    options.zones = mZones;
    auto node = Node::Open(options, mEnvironment);
    ASSERT_TRUE(node) << node.Error().message();
    mNode = std::move(node).Value();
    for (int n = 0; n < 500 && !mNode->IsLeading(); ++n) {
      Advance();
    }
    ASSERT_TRUE(mNode->IsLeading());
  }

  void Advance()
  {
    mNow += Millis(20);
    mNode->Tick(mNow, mNow + mWallOffset);
  }

  // Returns the reply, or nothing if none arrives within a second.
  std::optional<gen::Reply> Ask(const gen::Request& aRequest)
  {
    auto reply = std::make_shared<std::optional<gen::Reply>>();
    mNode->Handle(aRequest, mNow, [reply](gen::Reply aReply) {
      *reply = std::move(aReply);
    });
    for (int n = 0; n < 50 && !*reply; ++n) {
      Advance();
    }
    return *reply;
  }

  // Returns the outcome of a request; `kMayHaveRun` if no reply arrives.
  RequestOutcome OutcomeOf(const gen::Request& aRequest)
  {
    auto reply = Ask(aRequest);
    return reply ? static_cast<RequestOutcome>(reply->outcome)
                 : RequestOutcome::kMayHaveRun;
  }

  void Configure()
  {
    ASSERT_EQ(OutcomeOf(ConfigurationRequest()), RequestOutcome::kOk);
  }

  replication::MemoryDisk mDisk;
  TestEnvironment mEnvironment;
  std::unique_ptr<Node> mNode;
  Millis mNow{ 1'000'000 };
  Millis mWallOffset{};
  uint64_t mSnapshotEntries = 10000;
  std::set<ZoneId> mZones;
};

// Guards against submissions before a configuration exists, and against
// requests that reach jobs without a valid key.
TEST_F(NodeTest, RequestChecksHaveAFixedOrder)
{
  Open();
  std::string path = std::string("/q/") + kJob;
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kUnavailable);
  Configure();
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, "/other/")),
            RequestOutcome::kUnknownQueue);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path, "bad")),
            RequestOutcome::kUnauthorized);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kRead, path)),
            RequestOutcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, "/q/")),
            RequestOutcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, "/q/00000000000000a2")),
            RequestOutcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kOk);
  auto queueReply = Ask(RequestFor(RequestKind::kRead, "/q/"));
  ASSERT_TRUE(queueReply);
  EXPECT_EQ(queueReply->count, 1);
}

// Guards against a job that runs although its cancellation was acknowledged:
// its submission was delayed, and arrives at this leader or a later one.
TEST_F(NodeTest, SubmissionAfterItsCancellationIsRefused)
{
  Open();
  Configure();
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, path)),
            RequestOutcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, path)),
            RequestOutcome::kNoSuchJob);
  mNode.reset();
  Open();
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kRead, path)),
            RequestOutcome::kNoSuchJob);
  EXPECT_TRUE(mNode->State().Jobs().empty());
}

// Guards against the same within one batch and between two, in either order.
TEST_F(NodeTest, CancellationBesideItsSubmissionHolds)
{
  Open();
  Configure();
  int number = 0;
  for (bool cancelFirst : { false, true }) {
    for (int ticks : { 0, 1 }) {
      std::string path = "/q/00000000000000b" + std::to_string(++number);
      std::vector<RequestOutcome> outcomes;
      auto handle = [&](RequestKind aKind) {
        mNode->Handle(
          RequestFor(aKind, path), mNow, [&](const gen::Reply& aReply) {
            outcomes.push_back(static_cast<RequestOutcome>(aReply.outcome));
          });
      };
      handle(cancelFirst ? RequestKind::kCancel : RequestKind::kSubmit);
      for (int n = 0; n < ticks; ++n) {
        Advance();
      }
      handle(cancelFirst ? RequestKind::kSubmit : RequestKind::kCancel);
      for (int n = 0; n < 50; ++n) {
        Advance();
      }
      ASSERT_EQ(outcomes.size(), 2U);
      for (RequestOutcome it : outcomes) {
        EXPECT_TRUE(it == RequestOutcome::kOk ||
                    it == RequestOutcome::kNoSuchJob);
      }
      const Job* job =
        mNode->State().FindJob(JobId(std::string_view(path).substr(3)));
      EXPECT_TRUE(job == nullptr || job->status == JobStatus::kCancelled);
    }
  }
}

// Guards against the same where the job's id is in use by another workspace
// when the cancellation arrives, and where a public queue is involved, whose
// jobs all of its callers may cancel.
TEST_F(NodeTest, RefusalHoldsForEachCallerWhoMayCancel)
{
  struct Case
  {
    std::string cancelledAt;
    std::string cancelKey;
    std::string submittedTo;
    std::string submitKey;
    RequestOutcome expected;
  };
  constexpr RequestOutcome kOk = RequestOutcome::kOk;
  constexpr RequestOutcome kNone = RequestOutcome::kNoSuchJob;
  const std::vector<Case> cases = {
    { "/open/", "key", "/open/", "", kNone },
    { "/open/", "", "/open/", "key", kNone },
    { "/open/", "key2", "/open/", "key", kNone },
    { "/open/", "key", "/q/", "key", kNone },
    { "/q/", "key", "/open/", "key", kNone },
    { "/q/", "key", "/open/", "key2", kOk },
    { "/open/", "", "/q/", "key", kOk },
    { "/open/", "key2", "/q/", "key", kOk },
  };
  Open();
  gen::Request configuration = ConfigurationRequest();
  gen::Workspace other;
  other.name = "other";
  other.keys = { "key2" };
  configuration.configuration.workspaces.push_back(other);
  gen::Queue open = configuration.configuration.queues[0];
  open.name = "open";
  open.prefix = "/open/";
  open.isPublic = true;
  configuration.configuration.queues.push_back(open);
  ASSERT_EQ(OutcomeOf(configuration), kOk);
  int number = 10;
  for (const Case& it : cases) {
    std::string id = "00000000000000" + std::to_string(++number);
    ASSERT_EQ(OutcomeOf(RequestFor(
                RequestKind::kCancel, it.cancelledAt + id, it.cancelKey)),
              kNone);
    EXPECT_EQ(OutcomeOf(RequestFor(
                RequestKind::kSubmit, it.submittedTo + id, it.submitKey)),
              it.expected)
      << it.cancelledAt << ' ' << it.cancelKey << ' ' << it.submittedTo;
  }
  // Another workspace's job with the same id ends and is forgotten between the
  // cancellation and the submission.
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path, "key2")), kOk);
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, path, "key2")), kOk);
  auto advanceUntil = [this](Millis aTime) {
    while (mNow < aTime) {
      Advance();
    }
  };
  Millis cancelledAt = mNow + Seconds(100);
  advanceUntil(cancelledAt);
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, path)), kNone);
  advanceUntil(cancelledAt + Seconds(60));
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)), kNone);
}

// Guards against cancellations of unknown jobs that use memory for good, or
// that block the same id for another workspace or without limit.
TEST_F(NodeTest, RefusalIsForgottenLikeAnEndedJob)
{
  Open();
  gen::Request configuration = ConfigurationRequest();
  gen::Workspace other;
  other.name = "other";
  other.keys = { "key2" };
  configuration.configuration.workspaces.push_back(other);
  ASSERT_EQ(OutcomeOf(configuration), RequestOutcome::kOk);
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, path, "key2")),
            RequestOutcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kOk);
  EXPECT_EQ(mNode->State().RefusedJobs().size(), 1U);
  mNow += Seconds(121);
  for (int n = 0; n < 100; ++n) {
    Advance();
  }
  EXPECT_TRUE(mNode->State().RefusedJobs().empty());
  EXPECT_NE(mNode->State().FindJob(JobId(kJob)), nullptr);
}

// Guards against cancellations that fill the memory of the replicas: beyond the
// limit they are not acknowledged.
TEST_F(NodeTest, CancellationsOfUnknownJobsAreBounded)
{
  Open();
  Configure();
  int acknowledged = 0;
  int refused = 0;
  for (int n = 0; n < 10'100; ++n) {
    std::string digits = std::to_string(100'000 + n);
    mNode->Handle(RequestFor(RequestKind::kCancel, "/q/0000000000" + digits),
                  mNow,
                  [&](const gen::Reply& aReply) {
                    auto outcome = static_cast<RequestOutcome>(aReply.outcome);
                    acknowledged +=
                      outcome == RequestOutcome::kNoSuchJob ? 1 : 0;
                    refused += outcome == RequestOutcome::kUnavailable ? 1 : 0;
                  });
    if (n % 50 == 0) {
      Advance();
    }
  }
  for (int n = 0; n < 20; ++n) {
    Advance();
  }
  EXPECT_EQ(acknowledged + refused, 10'100);
  EXPECT_GE(refused, 1);
  // One batch of 50 may pass the limit before it is committed.
  EXPECT_LE(mNode->State().RefusedJobs().size(), 10'050U);
}

// Guards against a key that reads, cancels or takes over the jobs of another
// workspace. Every cell: who asks (owner, other workspace, nobody), on a
// private and on a public queue.
TEST_F(NodeTest, JobBelongsToTheWorkspaceThatSubmittedIt)
{
  Open();
  gen::Request configuration = ConfigurationRequest();
  gen::Workspace other;
  other.name = "other";
  other.keys = { "key2" };
  configuration.configuration.workspaces.push_back(other);
  gen::Queue open = configuration.configuration.queues[0];
  open.name = "open";
  open.prefix = "/open/";
  open.isPublic = true;
  configuration.configuration.queues.push_back(open);
  ASSERT_EQ(OutcomeOf(configuration), RequestOutcome::kOk);
  constexpr RequestOutcome kOk = RequestOutcome::kOk;
  constexpr RequestOutcome kNone = RequestOutcome::kNoSuchJob;
  constexpr RequestOutcome kNoKey = RequestOutcome::kUnauthorized;
  struct Case
  {
    std::string submittedTo;
    std::string askedAt;
    std::string key;
    RequestOutcome expected;
  };
  const std::vector<Case> cases = {
    { "/q/", "/q/", "key", kOk },       { "/q/", "/q/", "key2", kNone },
    { "/q/", "/q/", "", kNoKey },       { "/q/", "/open/", "key", kOk },
    { "/q/", "/open/", "key2", kNone }, { "/q/", "/open/", "", kNone },
    { "/open/", "/open/", "key", kOk }, { "/open/", "/open/", "key2", kOk },
    { "/open/", "/open/", "", kOk },    { "/open/", "/q/", "key", kOk },
    { "/open/", "/q/", "key2", kNone }, { "/open/", "/q/", "", kNoKey },
  };
  int number = 10;
  for (const Case& it : cases) {
    std::string id = "00000000000000" + std::to_string(++number);
    ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, it.submittedTo + id)),
              kOk);
    std::string path = it.askedAt + id;
    for (RequestKind kind :
         { RequestKind::kSubmit, RequestKind::kRead, RequestKind::kCancel }) {
      EXPECT_EQ(OutcomeOf(RequestFor(kind, path, it.key)), it.expected)
        << it.submittedTo << ' ' << path << ' ' << it.key;
    }
    JobStatus status = mNode->State().FindJob(JobId(id))->status;
    EXPECT_EQ(status == JobStatus::kCancelled, it.expected == kOk) << path;
  }
}

// Guards against the same while the owner's submission is not committed yet.
TEST_F(NodeTest, PendingJobBelongsToItsWorkspace)
{
  Open();
  gen::Request configuration = ConfigurationRequest();
  gen::Workspace other;
  other.name = "other";
  other.keys = { "key2" };
  configuration.configuration.workspaces.push_back(other);
  ASSERT_EQ(OutcomeOf(configuration), RequestOutcome::kOk);
  std::string path = std::string("/q/") + kJob;
  std::vector<RequestOutcome> outcomes;
  for (auto [kind, key] : { std::pair(RequestKind::kSubmit, "key"),
                            std::pair(RequestKind::kCancel, "key2"),
                            std::pair(RequestKind::kSubmit, "key2") }) {
    mNode->Handle(
      RequestFor(kind, path, key), mNow, [&](const gen::Reply& aReply) {
        outcomes.push_back(static_cast<RequestOutcome>(aReply.outcome));
      });
  }
  for (int n = 0; n < 50; ++n) {
    Advance();
  }
  EXPECT_EQ(outcomes,
            (std::vector{ RequestOutcome::kOk,
                          RequestOutcome::kNoSuchJob,
                          RequestOutcome::kNoSuchJob }));
  EXPECT_EQ(mNode->State().FindJob(JobId(kJob))->status, JobStatus::kQueued);
}

// Guards against an accepted job that is lost at a restart.
TEST_F(NodeTest, AcceptedJobSurvivesARestart)
{
  Open();
  Configure();
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kOk);
  mNode.reset();
  Open();
  auto reply = Ask(RequestFor(RequestKind::kRead, path));
  ASSERT_TRUE(reply);
  EXPECT_EQ(static_cast<RequestOutcome>(reply->outcome), RequestOutcome::kOk);
  EXPECT_EQ(static_cast<JobStatus>(reply->jobStatus), JobStatus::kQueued);
}

// Guards against losing accepted jobs on a full disk: the replica steps down
// for good, and the owning process reopens it once the disk works.
TEST_F(NodeTest, AcceptedJobsSurviveAFullDisk)
{
  Open();
  Configure();
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kOk);
  mDisk.FailWith(make_error_code(Errc::kNoSpace));
  EXPECT_NE(OutcomeOf(RequestFor(RequestKind::kSubmit, "/q/00000000000000a2")),
            RequestOutcome::kOk);
  EXPECT_TRUE(mNode->Status().diskError);
  EXPECT_FALSE(mNode->IsLeading());
  mDisk.FailWith({});
  mNode.reset();
  Open();
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kRead, path)),
            RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, "/q/00000000000000a3")),
            RequestOutcome::kOk);
}

// Guards against a leader that spends all its time on small entries, each of
// which waits for the disk, while requests wait to be received. Replays a burst
// of requests with ticks of 20 ms, and then single requests.
TEST_F(NodeTest, EntriesUnderLoadLeaveTimeForRequests)
{
  constexpr Millis kTickTime(20);
  Open();
  Configure();
  uint64_t before = mNode->Counters().proposals;
  Millis start = mNow;
  int answered = 0;
  auto submit = [&](int aNumber) {
    std::string digits = std::to_string(1000 + aNumber);
    gen::Request request =
      RequestFor(RequestKind::kSubmit, "/q/" + std::string(12, '0') + digits);
    mNode->Handle(request, mNow, [&](const gen::Reply& aReply) {
      answered +=
        static_cast<RequestOutcome>(aReply.outcome) == RequestOutcome::kOk;
    });
  };
  for (int n = 0; n < 500; ++n) {
    submit(n);
    mNow += Millis(2);
    if (mNode->NextTick() <= mNow) {
      uint64_t proposals = mNode->Counters().proposals;
      mNode->Tick(mNow, mNow);
      mNow += mNode->Counters().proposals > proposals ? kTickTime : Millis(0);
      mNode->OnTickDuration(kTickTime);
    }
  }
  Millis elapsed = mNow - start;
  auto entries = static_cast<int64_t>(mNode->Counters().proposals - before);
  EXPECT_LE(entries * 5, elapsed.Count() * 2 / kTickTime.Count() + 5);
  for (int n = 0; n < 20; ++n) {
    Advance();
  }
  EXPECT_EQ(answered, 500);
  // Without load, a request does not wait for a further tick.
  submit(600);
  EXPECT_LE(mNode->NextTick(), mNow);
}

// Guards against jobs that run again, or are unknown to their callers, because
// the time of day jumped: an ended job is remembered by elapsed time.
TEST_F(NodeTest, EndedJobIsRememberedWhenTheTimeOfDayJumps)
{
  Open();
  Configure();
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kOk);
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, path)),
            RequestOutcome::kOk);
  mWallOffset = Seconds(600);
  for (int n = 0; n < 50; ++n) {
    Advance();
  }
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kRead, path)),
            RequestOutcome::kOk);
  mNow += Seconds(121);
  for (int n = 0; n < 100; ++n) {
    Advance();
  }
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kRead, path)),
            RequestOutcome::kNoSuchJob);
}

// Guards against a withdrawn key that is accepted again after a restart.
TEST_F(NodeTest, WithdrawnKeyIsRefusedAfterARestart)
{
  Open();
  Configure();
  gen::Request request = ConfigurationRequest();
  request.configuration.version = 2;
  request.configuration.workspaces[0].keys = { "other" };
  ASSERT_EQ(OutcomeOf(request), RequestOutcome::kOk);
  mNode.reset();
  Open();
  std::string path = std::string("/q/") + kJob;
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kUnauthorized);
  EXPECT_EQ(OutcomeOf(ConfigurationRequest()), RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kUnauthorized);
}

// Guards against one submission that ends all replicas: each would allocate
// memory for its tasks, and again after each restart.
TEST_F(NodeTest, JobThatNoReplicaCanHoldIsInvalid)
{
  Open();
  Configure();
  std::string path = std::string("/q/") + kJob;
  gen::Request request = RequestFor(RequestKind::kSubmit, path);
  request.job.steps[0].tasks = 2'000'000'000;
  EXPECT_EQ(OutcomeOf(request), RequestOutcome::kInvalid);
  request = RequestFor(RequestKind::kSubmit, path);
  request.job.occurrences = 2'000'000'000;
  EXPECT_EQ(OutcomeOf(request), RequestOutcome::kInvalid);
  request = RequestFor(RequestKind::kSubmit, path);
  request.job.steps[0].after = { 7 };
  EXPECT_EQ(OutcomeOf(request), RequestOutcome::kInvalid);
}

// Guards against a repeated update that replaces the configuration in force.
TEST_F(NodeTest, SameVersionIsAcknowledgedAndChangesNothing)
{
  Open();
  Configure();
  gen::Request request;
  request.kind = static_cast<int32_t>(RequestKind::kPutConfiguration);
  gen::Configuration configuration;
  configuration.version = 1;
  configuration.text = "other";
  request.__set_configuration(configuration);
  EXPECT_EQ(OutcomeOf(request), RequestOutcome::kOk);
  gen::Request read;
  read.kind = static_cast<int32_t>(RequestKind::kGetConfiguration);
  EXPECT_EQ(Ask(read)->text, "text");
}

// Guards against a configuration that reaches the leader without a log line, so
// that one lost before the leader cannot be told from one that it delayed.
TEST_F(NodeTest, ReceiptOfAConfigurationIsLogged)
{
  Open();
  Configure();
  Configure();
  std::vector<std::string> received;
  for (const std::string& it : mEnvironment.events) {
    if (it.find("\"configuration_received\"") != std::string::npos) {
      received.push_back(it);
    }
  }
  ASSERT_EQ(received.size(), 2U);
  EXPECT_NE(received[0].find("\"in_force\":0"), std::string::npos);
  EXPECT_NE(received[1].find("\"in_force\":1"), std::string::npos);
}

gen::Request
ZoneRequest(RequestKind aKind, const std::string& aZone)
{
  gen::Request request;
  request.kind = static_cast<int32_t>(aKind);
  request.zone = aZone;
  return request;
}

// Guards against an acknowledged evacuation that a restart loses, or that the
// next configuration replaces.
TEST_F(NodeTest, EvacuationSurvivesARestartAndAConfiguration)
{
  Open();
  Configure();
  ASSERT_EQ(OutcomeOf(ReportRequest(mNow)), RequestOutcome::kOk);
  ZoneId zone("z1");
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kEvacuateZone, "z1")),
            RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kEvacuateZone, "z1")),
            RequestOutcome::kOk);
  Millis since = mNode->State().EvacuatedZones().at(zone);
  gen::Request configuration = ConfigurationRequest();
  configuration.configuration.version = 2;
  ASSERT_EQ(OutcomeOf(configuration), RequestOutcome::kOk);
  mNode.reset();
  Open();
  ASSERT_TRUE(mNode->State().IsEvacuated(zone));
  EXPECT_EQ(mNode->State().EvacuatedZones().at(zone), since);
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kRestoreZone, "z1")),
            RequestOutcome::kOk);
  EXPECT_FALSE(mNode->State().IsEvacuated(zone));
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kRestoreZone, "z1")),
            RequestOutcome::kOk);
}

// Guards against orders that wait in one batch and are applied in another order
// than they were received.
TEST_F(NodeTest, LastZoneOrderOfABatchHolds)
{
  Open();
  ASSERT_EQ(OutcomeOf(ReportRequest(mNow)), RequestOutcome::kOk);
  int answered = 0;
  for (RequestKind kind : { RequestKind::kEvacuateZone,
                            RequestKind::kRestoreZone,
                            RequestKind::kEvacuateZone }) {
    mNode->Handle(ZoneRequest(kind, "z1"), mNow, [&](const gen::Reply& it) {
      answered += it.outcome == static_cast<int32_t>(RequestOutcome::kOk);
    });
  }
  for (int n = 0; n < 20; ++n) {
    Advance();
  }
  EXPECT_EQ(answered, 3);
  EXPECT_TRUE(mNode->State().IsEvacuated(ZoneId("z1")));
}

// Guards against an order that waited unread at a replica and undoes a later
// one: it is based on what the replica knew when the order may have arrived.
TEST_F(NodeTest, ZoneOrderOlderThanTheLatestIsRefused)
{
  Open();
  ASSERT_EQ(OutcomeOf(ReportRequest(mNow)), RequestOutcome::kOk);
  auto order = [&](RequestKind aKind, Millis aArrivedAfter) {
    gen::Request request = ZoneRequest(aKind, "z1");
    request.__set_zoneRevision(
      static_cast<int64_t>(mNode->ZoneRevisionAt(aArrivedAfter)));
    return *Ask(request);
  };
  auto outcomeOf = [](const gen::Reply& aReply) {
    return static_cast<RequestOutcome>(aReply.outcome);
  };
  for (RequestKind later :
       { RequestKind::kEvacuateZone, RequestKind::kRestoreZone }) {
    RequestKind earlier = later == RequestKind::kEvacuateZone
                            ? RequestKind::kRestoreZone
                            : RequestKind::kEvacuateZone;
    Millis arrivedAfter = mNow;
    Advance();
    // Twice, since the second changes nothing and has to count as well.
    ASSERT_EQ(outcomeOf(order(later, mNow)), RequestOutcome::kOk);
    Millis between = mNow;
    Advance();
    ASSERT_EQ(outcomeOf(order(later, mNow)), RequestOutcome::kOk);
    bool evacuated = mNode->State().IsEvacuated(ZoneId("z1"));
    for (Millis it : { arrivedAfter, between }) {
      gen::Reply reply = order(earlier, it);
      EXPECT_EQ(outcomeOf(reply), RequestOutcome::kMayBeOutdated);
      EXPECT_EQ(mNode->State().IsEvacuated(ZoneId("z1")), evacuated);
      EXPECT_EQ(static_cast<uint64_t>(reply.zoneRevision),
                mNode->State().ZoneRevision());
    }
    Advance();
  }
}

// Guards against an order that waited while its replica was restarted: the
// state that is read from the disk was not known when the order arrived.
TEST_F(NodeTest, ZoneRevisionsAreNotKnownBeforeARestart)
{
  mSnapshotEntries = 5;
  Open();
  ASSERT_EQ(OutcomeOf(ReportRequest(mNow)), RequestOutcome::kOk);
  for (int n = 0; n < 10; ++n) {
    ASSERT_EQ(OutcomeOf(ZoneRequest(RequestKind::kEvacuateZone, "z1")),
              RequestOutcome::kOk);
  }
  Millis beforeRestart = mNow;
  mNode.reset();
  Open();
  ASSERT_GT(mNode->Status().snapshotIndex, 0U);
  EXPECT_GT(mNode->State().ZoneRevision(), 0U);
  EXPECT_EQ(mNode->ZoneRevisionAt(beforeRestart), 0U);
  EXPECT_EQ(mNode->ZoneRevisionAt(mNow + Millis(1)),
            mNode->State().ZoneRevision());
  gen::Request request = ZoneRequest(RequestKind::kRestoreZone, "z1");
  request.__set_zoneRevision(0);
  EXPECT_EQ(OutcomeOf(request), RequestOutcome::kMayBeOutdated);
}

// Guards against a wait at one zone's orders that delays or refuses another's.
TEST_F(NodeTest, ZonesAreOrderedIndependently)
{
  mZones = { ZoneId("z1"), ZoneId("z2") };
  Open();
  gen::Request first = ZoneRequest(RequestKind::kEvacuateZone, "z1");
  gen::Request second = ZoneRequest(RequestKind::kEvacuateZone, "z2");
  first.__set_zoneRevision(0);
  second.__set_zoneRevision(0);
  EXPECT_EQ(OutcomeOf(first), RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(second), RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(first), RequestOutcome::kMayBeOutdated);
}

// Guards against two orders that arrive together and are both executed although
// only one of them can be the later one.
TEST_F(NodeTest, ZoneOrderIsCheckedAgainstOneInProgress)
{
  mZones = { ZoneId("z1") };
  Open();
  std::vector<RequestOutcome> outcomes;
  for (RequestKind it :
       { RequestKind::kEvacuateZone, RequestKind::kRestoreZone }) {
    gen::Request request = ZoneRequest(it, "z1");
    request.__set_zoneRevision(0);
    mNode->Handle(request, mNow, [&](const gen::Reply& aReply) {
      outcomes.push_back(static_cast<RequestOutcome>(aReply.outcome));
    });
  }
  for (int n = 0; n < 20; ++n) {
    Advance();
  }
  EXPECT_EQ(outcomes,
            (std::vector<RequestOutcome>{ RequestOutcome::kMayBeOutdated,
                                          RequestOutcome::kOk }));
  EXPECT_TRUE(mNode->State().IsEvacuated(ZoneId("z1")));
}

// Guards against a misspelled zone that is acknowledged although nothing is
// evacuated.
TEST_F(NodeTest, OrderForAnUnknownZoneIsRefused)
{
  mZones = { ZoneId("z2") };
  Open();
  ASSERT_EQ(OutcomeOf(ReportRequest(mNow)), RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kEvacuateZone, "z3")),
            RequestOutcome::kUnknownZone);
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kEvacuateZone, "")),
            RequestOutcome::kUnknownZone);
  EXPECT_TRUE(mNode->State().EvacuatedZones().empty());
  // Known by a worker, and by the settings although no worker is left there.
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kEvacuateZone, "z1")),
            RequestOutcome::kOk);
  EXPECT_EQ(OutcomeOf(ZoneRequest(RequestKind::kEvacuateZone, "z2")),
            RequestOutcome::kOk);
}

// Three replicas whose messages can be held back, and one worker.
class GroupTest : public testing::Test
{
protected:
  struct Replica : NodeEnvironment
  {
    void SendReplication(const InstanceId& aTo, std::string aBytes) override
    {
      test->mMessages.push_back({ id, aTo, std::move(aBytes) });
    }
    void SendOrder(Order aOrder) override
    {
      orders.push_back(std::move(aOrder));
    }
    void Log(const LogEvent& /*aEvent*/) override {}

    GroupTest* test = nullptr;
    InstanceId id;
    replication::MemoryDisk disk;
    std::vector<Order> orders;
    std::unique_ptr<Node> node;
  };

  void SetUp() override
  {
    for (Replica& it : mReplicas) {
      it.test = this;
      it.id = InstanceId(std::string(1, static_cast<char>('a' + mNextId++)));
    }
    for (Replica& it : mReplicas) {
      NodeOptions options;
      options.group.self = it.id;
      options.group.folder = "folder";
      options.group.voters = { InstanceId("a"),
                               InstanceId("b"),
                               InstanceId("c") };
      options.group.disk = &it.disk;
      it.node = std::move(Node::Open(options, it)).Value();
    }
    for (int n = 0; n < 500 && Leader() == nullptr; ++n) {
      Advance();
    }
    ASSERT_NE(Leader(), nullptr);
  }

  Replica* Leader()
  {
    for (Replica& it : mReplicas) {
      if (it.node->IsLeading()) {
        return &it;
      }
    }
    return nullptr;
  }

  void Advance()
  {
    mNow += Millis(10);
    for (Replica& it : mReplicas) {
      it.node->Tick(mNow, mNow);
    }
    if (mMessagesHeld) {
      return;
    }
    for (const Message& it : std::exchange(mMessages, {})) {
      for (Replica& to : mReplicas) {
        if (to.id == it.to) {
          to.node->OnReplication(it.from, it.bytes, mNow);
        }
      }
    }
  }

  void Advance(Millis aTime)
  {
    for (Millis end = mNow + aTime; mNow < end;) {
      Advance();
    }
  }

  // Returns the outcome of a request; `kMayHaveRun` if no reply arrives within
  // 300 ms.
  RequestOutcome Ask(Replica& aLeader, const gen::Request& aRequest)
  {
    auto outcome =
      std::make_shared<RequestOutcome>(RequestOutcome::kMayHaveRun);
    aLeader.node->Handle(aRequest, mNow, [outcome](const gen::Reply& aReply) {
      *outcome = static_cast<RequestOutcome>(aReply.outcome);
    });
    Advance(Millis(300));
    return *outcome;
  }

  // Answers all renewals immediately, as a worker without runs.
  void AnswerRenewals(Replica& aLeader)
  {
    std::vector<Order> orders = std::exchange(aLeader.orders, {});
    for (const Order& it : orders) {
      if (it.kind != Order::Kind::kRenew) {
        aLeader.orders.push_back(it);
        continue;
      }
      OrderResult result;
      result.outcome = OrderResult::Outcome::kAnswered;
      result.clock = mNow;
      aLeader.node->OnOrderResult(it, result, mNow);
    }
  }

  std::vector<Order> StartsOf(const Replica& aReplica) const
  {
    std::vector<Order> out;
    std::copy_if(
      aReplica.orders.begin(),
      aReplica.orders.end(),
      std::back_inserter(out),
      [](const Order& aOrder) { return aOrder.kind == Order::Kind::kStart; });
    return out;
  }

  struct Message
  {
    InstanceId from;
    InstanceId to;
    std::string bytes;
  };

  int mNextId = 0;
  std::array<Replica, 3> mReplicas;
  std::vector<Message> mMessages;
  bool mMessagesHeld = false;
  Millis mNow{ 1'000'000 };
};

// Guards against duplicate runs after the leader lease lapses within a term:
// the leader keeps its fencing token, and starts that it sent before may still
// arrive, so it must not treat them as lost.
TEST_F(GroupTest, StartsRemainKnownWhenTheLeaderLeaseLapses)
{
  Replica& leader = *Leader();
  ASSERT_EQ(Ask(leader, ConfigurationRequest()), RequestOutcome::kOk);
  ASSERT_EQ(Ask(leader, ReportRequest(mNow)), RequestOutcome::kOk);
  AnswerRenewals(leader);
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(Ask(leader, RequestFor(RequestKind::kSubmit, path)),
            RequestOutcome::kOk);
  std::vector<Order> starts = StartsOf(leader);
  ASSERT_EQ(starts.size(), 1U);
  uint64_t term = leader.node->Status().term;

  mMessagesHeld = true;
  for (int n = 0; n < 200 && leader.node->IsLeading(); ++n) {
    Advance();
  }
  ASSERT_FALSE(leader.node->IsLeading());
  mMessagesHeld = false;
  for (int n = 0; n < 100 && !leader.node->IsLeading(); ++n) {
    Advance();
  }
  ASSERT_TRUE(leader.node->IsLeading());
  ASSERT_EQ(leader.node->Status().term, term);

  for (int n = 0; n < 50; ++n) {
    AnswerRenewals(leader);
    Advance();
  }
  EXPECT_TRUE(leader.node->State().IsActive(starts[0].run, starts[0].worker));
  EXPECT_EQ(StartsOf(leader).size(), 1U);
}

// Guards against a leader that stops under load without handing over: no other
// replica has its whole log while it proposes, and without a leader nothing is
// answered for the length of an election.
TEST_F(GroupTest, LeaderUnderLoadHandsOverBeforeItStops)
{
  Replica& leader = *Leader();
  ASSERT_EQ(Ask(leader, ConfigurationRequest()), RequestOutcome::kOk);
  int answered = 0;
  auto submit = [&](int aNumber) {
    std::string path =
      "/q/" + std::string(12, '0') + std::to_string(1000 + aNumber);
    leader.node->Handle(RequestFor(RequestKind::kSubmit, path),
                        mNow,
                        [&](const gen::Reply&) { ++answered; });
  };
  for (int n = 0; n < 10; ++n) {
    submit(n);
    Advance();
  }
  submit(10);
  leader.node->Tick(mNow, mNow);
  leader.node->PrepareShutdown(mNow);
  for (int n = 11; n < 41; ++n) {
    submit(n);
    Advance();
  }
  Replica* next = Leader();
  ASSERT_NE(next, nullptr);
  EXPECT_NE(next, &leader);
  EXPECT_EQ(answered, 41);
}

// Guards against a leader that was suspended and answers from what was in force
// before, although another one has been elected meanwhile.
TEST_F(GroupTest, SuspendedLeaderAnswersNothingFromItsOldLease)
{
  Replica& leader = *Leader();
  ASSERT_EQ(Ask(leader, ConfigurationRequest()), RequestOutcome::kOk);
  mNow += Seconds(5);
  gen::Request read;
  read.kind = static_cast<int32_t>(RequestKind::kGetConfiguration);
  std::optional<RequestOutcome> outcome;
  leader.node->Handle(read, mNow, [&](const gen::Reply& aReply) {
    outcome = static_cast<RequestOutcome>(aReply.outcome);
  });
  EXPECT_EQ(outcome, RequestOutcome::kNotLeader);
}

// Guards against an acknowledged evacuation that the next leader does not know.
TEST_F(GroupTest, EvacuationHoldsAtTheNextLeader)
{
  Replica& first = *Leader();
  ASSERT_EQ(Ask(first, ReportRequest(mNow)), RequestOutcome::kOk);
  ASSERT_EQ(Ask(first, ZoneRequest(RequestKind::kEvacuateZone, "z1")),
            RequestOutcome::kOk);
  first.node->PrepareShutdown(mNow);
  Advance(Seconds(1));
  Replica* next = Leader();
  ASSERT_NE(next, nullptr);
  ASSERT_NE(next, &first);
  EXPECT_TRUE(next->node->State().IsEvacuated(ZoneId("z1")));
}

// Guards against an order that is acknowledged by a leader that is cut off.
TEST_F(GroupTest, ZoneOrderIsNotAcknowledgedWithoutAQuorum)
{
  Replica& leader = *Leader();
  ASSERT_EQ(Ask(leader, ReportRequest(mNow)), RequestOutcome::kOk);
  mMessagesHeld = true;
  EXPECT_NE(Ask(leader, ZoneRequest(RequestKind::kEvacuateZone, "z1")),
            RequestOutcome::kOk);
  EXPECT_FALSE(leader.node->State().IsEvacuated(ZoneId("z1")));
}

} // namespace
} // namespace limpetwood::fleet
