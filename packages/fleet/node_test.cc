// A node that is a group of its own, on a disk in memory.

#include "fleet/node.h"

#include "base/error.h"
#include "replication/memory_disk.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

constexpr const char* kJob = "00000000000000a1";

class QuietEnvironment : public NodeEnvironment
{
public:
  void SendReplication(const InstanceId& /*aTo*/,
                       std::string /*aBytes*/) override
  {
  }
  void SendOrder(Order /*aOrder*/) override {}
  void Log(const LogEvent& /*aEvent*/) override {}
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
    options.tolerated = 0;
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
    mNode->Tick(mNow, mNow);
  }

  // The outcome, or empty if none comes within a second.
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

  Outcome OutcomeOf(const gen::Request& aRequest)
  {
    auto reply = Ask(aRequest);
    return reply ? static_cast<Outcome>(reply->outcome) : Outcome::kMayHaveRun;
  }

  void Configure()
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
    queue.maxAttempts = 1;
    configuration.queues.push_back(queue);
    gen::Workspace workspace;
    workspace.name = "workspace";
    workspace.keys = { "key" };
    configuration.workspaces.push_back(workspace);
    request.__set_configuration(configuration);
    ASSERT_EQ(OutcomeOf(request), Outcome::kOk);
  }

  static gen::Request RequestFor(RequestKind aKind,
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

  replication::MemoryDisk mDisk;
  QuietEnvironment mEnvironment;
  std::unique_ptr<Node> mNode;
  Millis mNow{ 1'000'000 };
};

TEST_F(NodeTest, RequestsAreCheckedInTheirOrder)
{
  Open();
  std::string path = std::string("/q/") + kJob;
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)),
            Outcome::kUnavailable);
  Configure();
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, "/other/")),
            Outcome::kUnknownQueue);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path, "bad")),
            Outcome::kUnauthorized);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kRead, path)),
            Outcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kCancel, path)),
            Outcome::kNoSuchJob);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)), Outcome::kOk);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)), Outcome::kOk);
  auto length = Ask(RequestFor(RequestKind::kRead, "/q/"));
  ASSERT_TRUE(length);
  EXPECT_EQ(length->count, 1);
}

TEST_F(NodeTest, AcceptedJobSurvivesARestart)
{
  Open();
  Configure();
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)), Outcome::kOk);
  mNode.reset();
  Open();
  auto reply = Ask(RequestFor(RequestKind::kRead, path));
  ASSERT_TRUE(reply);
  EXPECT_EQ(static_cast<Outcome>(reply->outcome), Outcome::kOk);
  EXPECT_EQ(static_cast<JobStatus>(reply->jobStatus), JobStatus::kQueued);
}

// A replica steps down for good when its disk is full; its process opens it
// again once the disk works.
TEST_F(NodeTest, FullDiskLosesNothingAndIsOpenedAgain)
{
  Open();
  Configure();
  std::string path = std::string("/q/") + kJob;
  ASSERT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, path)), Outcome::kOk);
  mDisk.FailWith(make_error_code(Errc::kNoSpace));
  EXPECT_NE(OutcomeOf(RequestFor(RequestKind::kSubmit, "/q/00000000000000a2")),
            Outcome::kOk);
  EXPECT_TRUE(mNode->Status().diskError);
  EXPECT_FALSE(mNode->IsLeading());
  mDisk.FailWith({});
  mNode.reset();
  Open();
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kRead, path)), Outcome::kOk);
  EXPECT_EQ(OutcomeOf(RequestFor(RequestKind::kSubmit, "/q/00000000000000a3")),
            Outcome::kOk);
}

TEST_F(NodeTest, LowerVersionIsAcknowledgedAndChangesNothing)
{
  Open();
  Configure();
  gen::Request request;
  request.kind = static_cast<int32_t>(RequestKind::kPutConfiguration);
  gen::Configuration configuration;
  configuration.version = 1;
  configuration.text = "other";
  request.__set_configuration(configuration);
  EXPECT_EQ(OutcomeOf(request), Outcome::kOk);
  gen::Request read;
  read.kind = static_cast<int32_t>(RequestKind::kGetConfiguration);
  EXPECT_EQ(Ask(read)->text, "text");
}

} // namespace
} // namespace limpetwood::fleet
