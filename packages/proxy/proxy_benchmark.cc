// Measures what one instance adds to a request: latency and throughput against
// a direct connection to the same server in the same run, and memory for each
// caller connection. Prints JSON lines. Bounded to a few seconds of loopback
// load.

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
constexpr int kRequests = 2000;
constexpr int kThroughputLanes = 8;
constexpr int kIdleConnections = 1000;

// Sends requests one after another over one kept connection.
class Lane : public std::enable_shared_from_this<Lane>
{
public:
  Lane(boost::asio::io_context& aContext, int aRequests)
    : mConnection(http::Connection::Create(aContext))
    , mLeft(aRequests)
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
          self->Next();
        }
      });
  }

  const std::vector<double>& LatenciesUs() const { return mLatenciesUs; }

private:
  using Clock = std::chrono::steady_clock;

  void Next()
  {
    if (mLeft-- == 0) {
      mConnection->Close();
      return;
    }
    mSent = Clock::now();
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
                            std::chrono::duration<double, std::micro> took =
                              Clock::now() - self->mSent;
                            self->mLatenciesUs.push_back(took.count());
                            self->Next();
                          });
  }

  std::shared_ptr<http::Connection> mConnection;
  http::RequestHead mHead;
  int mLeft;
  Clock::time_point mSent;
  std::vector<double> mLatenciesUs;
};

struct Figures
{
  double medianUs = 0;
  double p99Us = 0;
  double perSecond = 0;
  size_t answered = 0;
};

Figures
Measure(const http::Endpoint& aTarget, int aLanes, int aRequests)
{
  boost::asio::io_context context;
  std::vector<std::shared_ptr<Lane>> lanes;
  for (int n = 0; n < aLanes; ++n) {
    lanes.push_back(std::make_shared<Lane>(context, aRequests));
    lanes.back()->Start(aTarget);
  }
  auto start = std::chrono::steady_clock::now();
  context.run();
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  std::vector<double> all;
  for (const auto& it : lanes) {
    all.insert(all.end(), it->LatenciesUs().begin(), it->LatenciesUs().end());
  }
  std::sort(all.begin(), all.end());
  if (all.empty()) {
    return {};
  }
  return { all[all.size() / 2],
           all[all.size() * 99 / 100],
           static_cast<double>(all.size()) / took.count(),
           all.size() };
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
    Figures direct = Measure(aDirect, 1, kRequests);
    Figures through = Measure(aInstance, 1, kRequests);
    added.push_back((through.medianUs - direct.medianUs) / 1000);
    ratio.push_back(through.medianUs / direct.medianUs);
    answered += through.answered;
  }
  std::cout << nlohmann::json{ { "benchmark", "proxy_latency" },
                               { "rounds", kRounds },
                               { "requests", kRounds * kRequests },
                               { "answered", answered },
                               { "addedMedianMs", MedianOf(added) },
                               { "latencyRatio", MedianOf(ratio) },
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
    Figures direct = Measure(aDirect, kThroughputLanes, kRequests);
    Figures through = Measure(aInstance, kThroughputLanes, kRequests);
    ratio.push_back(through.perSecond / direct.perSecond);
    answered += through.answered;
  }
  std::cout << nlohmann::json{ { "benchmark", "proxy_throughput" },
                               { "rounds", kRounds },
                               { "lanes", kThroughputLanes },
                               { "requests",
                                 kRounds * kRequests * kThroughputLanes },
                               { "answered", answered },
                               { "throughputRatio", MedianOf(ratio) } }
            << std::endl;
}

// Both ends are in this process, so the figure is an upper bound for the
// instance.
void
MeasureMemory(const http::Endpoint& aInstance)
{
  std::vector<std::unique_ptr<RawConnection>> idle;
  size_t before = ResidentBytes();
  for (int n = 0; n < kIdleConnections; ++n) {
    idle.push_back(std::make_unique<RawConnection>(aInstance));
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
  Bed bed;
  bed.Announce("s1", server.Address(), 64);
  MeasureLatency(server.Address(), bed.Address());
  MeasureThroughput(server.Address(), bed.Address());
  MeasureMemory(bed.Address());
  return 0;
}
