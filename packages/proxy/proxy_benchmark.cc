// Measures the overhead of one instance: latency and throughput relative to
// direct connections to the same server in the same run, and memory for each
// idle caller connection. Prints JSON lines. Runs for a few seconds over
// loopback.

#include "proxy/test_support.h"

#include "http/connection.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace limpetwood::proxy {
namespace {

constexpr int kRounds = 5;
constexpr int kRequestsPerConnection = 2000;
constexpr int kThroughputConnections = 8;
constexpr int kIdleConnections = 1000;

// Sends requests one after another over one persistent connection. Stops at the
// first error.
class RequestLoop : public std::enable_shared_from_this<RequestLoop>
{
public:
  RequestLoop(boost::asio::io_context& aContext, int aRequests)
    : mConnection(http::Connection::Create(aContext))
    , mRemainingRequests(aRequests)
  {
    mHead.target = "/svc/demo/x";
    mHead.headers.Set("Limpetwood-Workspace", "w");
    mHead.headers.Set("Standin-Work-Ms", "0");
  }

  void Start(const http::Endpoint& aTarget)
  {
    mConnection->Connect(
      aTarget, Seconds(5), [self = shared_from_this()](std::error_code ec) {
        if (!ec) {
          self->SendNext();
        }
      });
  }

  const std::vector<double>& LatenciesUs() const { return mLatenciesUs; }

private:
  using Clock = std::chrono::steady_clock;

  void SendNext()
  {
    if (mRemainingRequests-- == 0) {
      mConnection->Close();
      return;
    }
    mSendTime = Clock::now();
    mConnection->Send(mHead, {}, true, Seconds(5), [](std::error_code) {});
    mConnection->ReadHead(
      Seconds(5),
      1U << 20U,
      [self = shared_from_this()](std::error_code ec, http::ResponseHead it) {
        if (!ec && it.status == 200) {
          self->ReadBody();
        }
      });
  }

  void ReadBody()
  {
    mConnection->ReadBody(Seconds(5),
                          [self = shared_from_this()](
                            std::error_code ec, std::string_view, bool aLast) {
                            if (ec) {
                              return;
                            }
                            if (!aLast) {
                              self->ReadBody();
                              return;
                            }
                            std::chrono::duration<double, std::micro> elapsed =
                              Clock::now() - self->mSendTime;
                            self->mLatenciesUs.push_back(elapsed.count());
                            self->SendNext();
                          });
  }

  std::shared_ptr<http::Connection> mConnection;
  http::RequestHead mHead;
  int mRemainingRequests;
  Clock::time_point mSendTime;
  std::vector<double> mLatenciesUs;
};

struct LoadResult
{
  double medianUs = 0;
  double p99Us = 0;
  double perSecond = 0;
  size_t answered = 0;
};

LoadResult
Measure(const http::Endpoint& aTarget, int aConnections, int aRequests)
{
  boost::asio::io_context context;
  std::vector<std::shared_ptr<RequestLoop>> loops;
  for (int n = 0; n < aConnections; ++n) {
    loops.push_back(std::make_shared<RequestLoop>(context, aRequests));
    loops.back()->Start(aTarget);
  }
  auto start = std::chrono::steady_clock::now();
  context.run();
  std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - start;
  std::vector<double> latenciesUs;
  for (const auto& it : loops) {
    latenciesUs.insert(
      latenciesUs.end(), it->LatenciesUs().begin(), it->LatenciesUs().end());
  }
  std::sort(latenciesUs.begin(), latenciesUs.end());
  if (latenciesUs.empty()) {
    return {};
  }
  return { latenciesUs[latenciesUs.size() / 2],
           latenciesUs[latenciesUs.size() * 99 / 100],
           static_cast<double>(latenciesUs.size()) / elapsed.count(),
           latenciesUs.size() };
}

double
MedianOf(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

void
MeasureLatency(const http::Endpoint& aDirect, const http::Endpoint& aInstance)
{
  std::vector<double> added;
  std::vector<double> ratio;
  size_t answered = 0;
  for (int n = 0; n < kRounds; ++n) {
    LoadResult direct = Measure(aDirect, 1, kRequestsPerConnection);
    LoadResult proxied = Measure(aInstance, 1, kRequestsPerConnection);
    added.push_back((proxied.medianUs - direct.medianUs) / 1000);
    ratio.push_back(proxied.medianUs / direct.medianUs);
    answered += proxied.answered;
  }
  std::cout << nlohmann::json{ { "benchmark", "proxy_latency" },
                               { "rounds", kRounds },
                               { "requests", kRounds * kRequestsPerConnection },
                               { "answered", answered },
                               { "addedMedianMs", MedianOf(added) },
                               { "latencyRatio", MedianOf(ratio) },
                               // Target for addedMedianMs.
                               { "targetAddedMs", 0.2 } }
            << std::endl;
}

void
MeasureThroughput(const http::Endpoint& aDirect,
                  const http::Endpoint& aInstance)
{
  std::vector<double> ratio;
  size_t answered = 0;
  for (int n = 0; n < kRounds; ++n) {
    LoadResult direct =
      Measure(aDirect, kThroughputConnections, kRequestsPerConnection);
    LoadResult proxied =
      Measure(aInstance, kThroughputConnections, kRequestsPerConnection);
    ratio.push_back(proxied.perSecond / direct.perSecond);
    answered += proxied.answered;
  }
  std::cout << nlohmann::json{
    { "benchmark", "proxy_throughput" },
    { "rounds", kRounds },
    { "lanes", kThroughputConnections },
    { "requests", kRounds * kRequestsPerConnection * kThroughputConnections },
    { "answered", answered },
    { "throughputRatio", MedianOf(ratio) }
  } << std::endl;
}

// Both ends of each connection are in this process, so the result is an upper
// bound for the instance.
void
MeasureMemory(const http::Endpoint& aInstance)
{
  std::vector<std::unique_ptr<RawConnection>> idle;
  size_t before = ResidentBytes();
  for (int n = 0; n < kIdleConnections; ++n) {
    idle.push_back(std::make_unique<RawConnection>(aInstance));
    // The path is unknown, so the proxy itself responds and the connection
    // stays open and idle.
    idle.back()->Send("GET /other HTTP/1.1\r\n\r\n");
    idle.back()->Read(64);
  }
  size_t after = ResidentBytes();
  std::cout << nlohmann::json{ { "benchmark", "proxy_memory" },
                               { "connections", kIdleConnections },
                               { "bytesPerConnectionBothEnds",
                                 (after - before) / kIdleConnections } }
            << std::endl;
}

} // namespace
} // namespace limpetwood::proxy

int
main()
{
  using namespace limpetwood::proxy;
  TestServer server(
    { .id = "s1", .slots = 64, .executionTime = limpetwood::Millis(0) });
  TestInstance instance;
  instance.Announce("s1", server.Address(), 64);
  MeasureLatency(server.Address(), instance.Address());
  MeasureThroughput(server.Address(), instance.Address());
  MeasureMemory(instance.Address());
  return 0;
}
