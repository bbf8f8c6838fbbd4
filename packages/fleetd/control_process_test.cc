// Guards against a process that ends because the node of its replica failed
// with an exception, and against reports of workers that fail because
// leadership changes: the next leader answers them.

#include "fleetd/control_process.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <stdexcept>

namespace limpetwood::fleetd {
namespace {

namespace gen = fleet::gen;
using fleet::RequestKind;
using fleet::RequestOutcome;

constexpr const char* kZone = "z1";

class ControlProcessTest : public testing::Test
{
protected:
  void SetUp() override
  {
    mFolder = std::filesystem::temp_directory_path() /
              ("control-process-" + std::to_string(::getpid()));
    mSettings.address = "127.0.0.1";
    mSettings.bindAddress = "127.0.0.1";
    mSettings.firstPort = FreePorts();
    mSettings.seeds = { "127.0.0.1" };
    mSettings.firstStart = true;
    mSettings.dataFolder = mFolder.string();
    mSettings.bounds.toleratedInstances = 0;
  }

  void TearDown() override { std::filesystem::remove_all(mFolder); }

  // Returns a port that is free together with the next one.
  static uint16_t FreePorts()
  {
    namespace asio = boost::asio;
    asio::io_context context;
    for (;;) {
      asio::ip::tcp::acceptor first(context,
                                    { asio::ip::make_address("127.0.0.1"), 0 });
      uint16_t port = first.local_endpoint().port();
      asio::ip::tcp::acceptor second(context);
      second.open(asio::ip::tcp::v4());
      boost::system::error_code ec;
      second.bind({ asio::ip::make_address("127.0.0.1"),
                    static_cast<uint16_t>(port + 1) },
                  ec);
      if (!ec) {
        return port;
      }
    }
  }

  void Run(Millis aTime)
  {
    mContext.run_for(std::chrono::milliseconds(aTime.Count()));
    mContext.restart();
  }

  static gen::Request ReportRequest()
  {
    fleet::WorkerReport report;
    report.id = WorkerId("w1");
    report.incarnation = Incarnation(1);
    report.address = "127.0.0.1:1";
    report.sequence = 1;
    report.zone = ZoneId(kZone);
    gen::Request request;
    request.kind = static_cast<int32_t>(RequestKind::kReport);
    request.__set_worker(ToWire(report));
    return request;
  }

  std::optional<RequestOutcome> Ask(ControlProcess& aProcess)
  {
    std::optional<RequestOutcome> outcome;
    aProcess.Handle(ReportRequest(),
                    MonotonicNow() + Seconds(1),
                    [&](const RelayResult& aResult) {
                      outcome =
                        static_cast<RequestOutcome>(aResult.reply.outcome);
                    });
    Run(Millis(300));
    return outcome;
  }

  // Gives an order that `aProcess` reads now.
  RequestOutcome OrderZone(ControlProcess& aProcess,
                           RequestKind aKind,
                           const Caller& aCaller)
  {
    gen::Request request;
    request.kind = static_cast<int32_t>(aKind);
    request.zone = kZone;
    std::optional<RequestOutcome> outcome;
    aProcess.HandleZoneOrder(request,
                             aCaller,
                             MonotonicNow() + Seconds(2),
                             [&](const RelayResult& aResult) {
                               outcome = static_cast<RequestOutcome>(
                                 aResult.reply.outcome);
                             });
    for (int n = 0; n < 250 && !outcome; ++n) {
      Run(Millis(10));
    }
    EXPECT_TRUE(outcome);
    return outcome.value_or(RequestOutcome::kUnavailable);
  }

  bool WaitForLeader(const ControlProcess& aProcess)
  {
    for (int n = 0; n < 100; ++n) {
      if (aProcess.Node() != nullptr && aProcess.Node()->IsLeading()) {
        return true;
      }
      Run(Millis(100));
    }
    return false;
  }

  // Starts a process of a group of three on 127.0.0.`aNumber`.
  std::unique_ptr<ControlProcess> StartMember(int aNumber)
  {
    Settings settings = mSettings;
    settings.address = "127.0.0." + std::to_string(aNumber);
    settings.bindAddress = settings.address;
    settings.seeds = { "127.0.0.1", "127.0.0.2", "127.0.0.3" };
    settings.dataFolder = (mFolder / std::to_string(aNumber)).string();
    settings.bounds.toleratedInstances = 1;
    auto process = std::make_unique<ControlProcess>(
      mContext,
      settings,
      [](const fleet::Order&, const OrderCallback&) {},
      [](const LogEvent&) {});
    EXPECT_FALSE(process->Start());
    return process;
  }

  using Group = std::vector<std::unique_ptr<ControlProcess>>;

  static ControlProcess* FindLeader(const Group& aGroup)
  {
    for (const auto& it : aGroup) {
      if (it->Node() != nullptr && it->Node()->IsLeading()) {
        return it.get();
      }
    }
    return nullptr;
  }

  // Returns a group whose relays know the leader and whose followers have the
  // whole log.
  Group StartGroup()
  {
    Group group;
    for (int n = 1; n <= 3; ++n) {
      group.push_back(StartMember(n));
    }
    for (int n = 0; n < 200 && FindLeader(group) == nullptr; ++n) {
      Run(Millis(50));
    }
    Run(Millis(1000));
    return group;
  }

  boost::asio::io_context mContext{ 1 };
  std::filesystem::path mFolder;
  Settings mSettings;
};

TEST_F(ControlProcessTest, ExceptionOfTheNodeDoesNotEndTheProcess)
{
  int orders = 0;
  std::string log;
  ControlProcess process(
    mContext,
    mSettings,
    [&](const fleet::Order&, const OrderCallback&) {
      if (++orders == 1) {
        throw std::runtime_error("unexpected");
      }
    },
    [&](const LogEvent& aEvent) { log += aEvent.JsonMembers() + "\n"; });
  ASSERT_FALSE(process.Start());
  ASSERT_TRUE(WaitForLeader(process));
  // The report makes the node send a renewal, which fails.
  EXPECT_EQ(Ask(process), RequestOutcome::kOk);
  EXPECT_EQ(orders, 1);
  EXPECT_NE(log.find("node_failed"), std::string::npos);
  ASSERT_TRUE(WaitForLeader(process));
  // The worker is known from the log, and the next renewal is sent.
  EXPECT_NE(process.Node()->State().FindWorker(WorkerId("w1")), nullptr);
  Run(Millis(300));
  EXPECT_GE(orders, 2);
  EXPECT_EQ(process.Failures(), 1U);
}

// Guards against reports that a leader refuses when it hands leadership over,
// and against a relay that learns of the new leader only from its next ping.
TEST_F(ControlProcessTest, ReportsSurviveAHandOver)
{
  Group group = StartGroup();
  ControlProcess* first = FindLeader(group);
  ASSERT_NE(first, nullptr);
  int succeeded = 0;
  int ended = 0;
  constexpr int kReports = 300;
  for (int n = 0; n < kReports; ++n) {
    if (n == kReports / 3) {
      first->PrepareShutdown();
    }
    // Each report is that of a new worker, which a commit has to precede.
    gen::Request request = ReportRequest();
    request.worker.id = "w" + std::to_string(n);
    first->Handle(
      request, MonotonicNow() + Millis(900), [&](const RelayResult& aResult) {
        ++ended;
        succeeded += static_cast<RequestOutcome>(aResult.reply.outcome) ==
                     RequestOutcome::kOk;
      });
    Run(Millis(2));
  }
  Run(Millis(1500));
  ASSERT_NE(FindLeader(group), nullptr);
  EXPECT_NE(FindLeader(group), first);
  EXPECT_EQ(ended, kReports);
  EXPECT_EQ(succeeded, kReports);
}

// Guards against relays that send requests to a former leader although their
// replica follows the new one.
TEST_F(ControlProcessTest, RelayLearnsTheLeaderFromTheReplica)
{
  Group group = StartGroup();
  ControlProcess* former = FindLeader(group);
  ASSERT_NE(former, nullptr);
  former->PrepareShutdown();
  ControlProcess* leader = former;
  for (int n = 0; n < 500 && (leader == nullptr || leader == former); ++n) {
    Run(Millis(10));
    leader = FindLeader(group);
  }
  ASSERT_NE(leader, nullptr);
  ASSERT_NE(leader, former);
  // Much shorter than the interval of the relay's pings.
  Run(Millis(80));
  std::vector<RelayResult> results;
  for (const auto& it : group) {
    if (it.get() != leader) {
      it->Handle(
        ReportRequest(),
        MonotonicNow() + Millis(900),
        [&](RelayResult aResult) { results.push_back(std::move(aResult)); });
    }
  }
  Run(Millis(950));
  ASSERT_EQ(results.size(), 2U);
  for (const RelayResult& it : results) {
    EXPECT_EQ(static_cast<RequestOutcome>(it.reply.outcome),
              RequestOutcome::kOk);
    EXPECT_EQ(it.attempts, 1U);
  }
}

// Guards against an order that is sent again on behalf of a caller that has
// closed its connection and may have given the opposite order since.
TEST_F(ControlProcessTest, ZoneOrderOfACallerThatLeftIsNotRetried)
{
  ControlProcess process(
    mContext,
    mSettings,
    [](const fleet::Order&, const OrderCallback&) {},
    [](const LogEvent&) {});
  ASSERT_FALSE(process.Start());
  ASSERT_TRUE(WaitForLeader(process));
  ASSERT_EQ(Ask(process), RequestOutcome::kOk);
  Millis before = MonotonicNow();
  Run(Millis(20));
  ASSERT_EQ(OrderZone(process, RequestKind::kEvacuateZone, { MonotonicNow() }),
            RequestOutcome::kOk);
  Caller caller{ .arrivedAfter = before, .hasLeft = [] { return true; } };
  EXPECT_EQ(OrderZone(process, RequestKind::kRestoreZone, caller),
            RequestOutcome::kMayBeOutdated);
  caller.hasLeft = [] { return false; };
  EXPECT_EQ(OrderZone(process, RequestKind::kRestoreZone, caller),
            RequestOutcome::kOk);
}

// Guards against an order about a zone that waited unread in one process, the
// leader or another one, and undoes the opposite order, which its caller gave
// to another process meanwhile. A caller that still waits must not be refused.
TEST_F(ControlProcessTest, ZoneOrderThatWaitedDoesNotUndoALaterOne)
{
  Group group = StartGroup();
  ASSERT_EQ(Ask(*group[0]), RequestOutcome::kOk);
  RequestKind later = RequestKind::kEvacuateZone;
  RequestKind earlier = RequestKind::kRestoreZone;
  for (size_t n = 0; n < 2 * group.size(); ++n) {
    ControlProcess& paused = *group[n % group.size()];
    ControlProcess& other = *group[(n + 1) % group.size()];
    Millis pausedAt = MonotonicNow();
    Run(Millis(20));
    // An order that has just arrived is executed even if it undoes the latest
    // one, and even by a process that does not know of that one yet.
    ASSERT_EQ(OrderZone(other, later, { MonotonicNow() }), RequestOutcome::kOk);
    ASSERT_EQ(OrderZone(paused, earlier, { MonotonicNow() }),
              RequestOutcome::kOk);
    ASSERT_EQ(OrderZone(other, later, { MonotonicNow() }), RequestOutcome::kOk);
    Run(Millis(1000));
    EXPECT_EQ(OrderZone(paused, earlier, { pausedAt }),
              RequestOutcome::kMayBeOutdated);
    ControlProcess* leader = FindLeader(group);
    ASSERT_NE(leader, nullptr);
    EXPECT_EQ(leader->Node()->State().IsEvacuated(ZoneId(kZone)),
              later == RequestKind::kEvacuateZone);
    std::swap(earlier, later);
  }
}

} // namespace
} // namespace limpetwood::fleetd
