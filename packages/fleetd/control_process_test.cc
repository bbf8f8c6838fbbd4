// Guards against a process that ends because the node of its replica failed
// with an exception: the node is closed and opened again from its log.

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

} // namespace
} // namespace limpetwood::fleetd
