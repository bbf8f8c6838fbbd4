// Tests of the proxy with healthy backend servers: verdicts, complete
// responses, body limits, backpressure, draining and callers that disconnect.

#include "proxy/test_support.h"

#include <gtest/gtest.h>

#include <atomic>

namespace limpetwood::proxy {
namespace {

// Guards against a response without the verdict header, on which callers base
// their retries.
TEST(Proxy, AnswerCarriesItsVerdict)
{
  TestServer server({ .id = "s1" });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  auto result = instance.Call(MakeRequest("r1"));
  EXPECT_EQ(FormatOutcome(result), "answered 200");
  EXPECT_EQ(result.response.body, "s1 r1\n");
  EXPECT_EQ(server.Executed(), 1U);
}

// Guards the documented statuses and reasons of requests that did not run.
TEST(Proxy, RefusalsAreNotRun)
{
  TestInstance instance;
  auto request = MakeRequest("r1");
  EXPECT_EQ(FormatOutcome(instance.Call(request)).substr(0, 12),
            "not_run 503 ");
  request.target = "/other";
  EXPECT_EQ(FormatOutcome(instance.Call(request)), "not_run 404 unknown_path");
  request.target = "/svc/unknown/x";
  EXPECT_EQ(FormatOutcome(instance.Call(request)),
            "not_run 503 unknown_service");
  request = MakeRequest("r1", { { "Limpetwood-Deadline-Ms", "soon" } });
  EXPECT_EQ(FormatOutcome(instance.Call(request)),
            "not_run 400 malformed_header");
}

// Guards against lost bytes in bodies larger than any buffer, both with
// Content-Length and with chunked encoding.
TEST(Proxy, LargeBodiesPassWhole)
{
  TestServer server({ .id = "s1", .executionTime = Millis(0) });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  for (const char* chunked : { "no", "yes" }) {
    auto request = MakeRequest("r1",
                               { { "Standin-Answer-Bytes", "6000000" },
                                 { "Standin-Chunked", chunked } });
    request.body.assign(5000000, 'b');
    auto result = instance.Call(request);
    EXPECT_EQ(FormatOutcome(result), "answered 200");
    EXPECT_EQ(result.response.body.size(), 6000000U);
    EXPECT_EQ(result.response.headers.Get("Standin-Body-Bytes"), "5000000");
  }
}

// Guards against bodies that exhaust the memory of an instance. A chunked
// request that exceeds the limit after its first part was forwarded may have
// run.
TEST(Proxy, OversizedBodiesAreRefused)
{
  TestServer server({ .id = "s1", .executionTime = Millis(0) });
  TestInstance instance(
    { .limits = { .maxRequestBytes = 100000, .maxResponseBytes = 100000 } });
  instance.Announce("s1", server.Address());
  auto request = MakeRequest("r1");
  request.body.assign(100001, 'b');
  EXPECT_EQ(FormatOutcome(instance.Call(request)),
            "not_run 413 request_too_large");
  RawConnection connection(instance.Address());
  // c350 is 50000 in hexadecimal.
  std::string chunk = "c350\r\n" + std::string(50000, 'b') + "\r\n";
  connection.Send("POST /svc/demo/x HTTP/1.1\r\nLimpetwood-Workspace: w\r\n"
                  "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  chunk + chunk);
  // The proxy sends the contents of the replay buffer together with the request
  // head, so they have been sent once the server is busy.
  ASSERT_TRUE(WaitUntil([&] { return server.Busy() == 1; }));
  connection.Send(chunk + "0\r\n\r\n");
  std::string answer = connection.ReadAll();
  EXPECT_NE(answer.find("413"), std::string::npos);
  EXPECT_NE(answer.find("may_have_run"), std::string::npos);
  EXPECT_EQ(server.Executed(), 0U);
  request = MakeRequest("r2", { { "Standin-Answer-Bytes", "100001" } });
  EXPECT_EQ(FormatOutcome(instance.Call(request)),
            "may_have_run 502 answer_too_large");
  EXPECT_EQ(server.Executed(), 1U);
  request = MakeRequest("r3", { { "Standin-Answer-Bytes", "100000" } });
  EXPECT_EQ(FormatOutcome(instance.Call(request)), "answered 200");
}

// Guards against an instance that buffers what a slow caller has not read yet.
// The response of 96 MiB is many times larger than all socket buffers between
// the server and the caller.
TEST(Proxy, SlowReaderSlowsTheServerDown)
{
  constexpr size_t kAnswerBytes = 96U << 20U;
  IoThread serverThread;
  std::atomic<size_t> written = 0;
  std::string block(1U << 20U, 'x');
  std::function<void(std::shared_ptr<http::Exchange>, size_t)> write =
    [&](std::shared_ptr<http::Exchange> aExchange, size_t aRemainingBytes) {
      aExchange->WriteBody(
        block,
        aRemainingBytes == block.size(),
        [&, aExchange, aRemainingBytes](std::error_code aError) {
          written += aError ? 0 : block.size();
          if (!aError && aRemainingBytes > block.size()) {
            write(aExchange, aRemainingBytes - block.size());
          }
        });
    };
  std::unique_ptr<http::StreamServer> server;
  auto address = serverThread.Run([&] {
    server = std::make_unique<http::StreamServer>(
      serverThread.Context(),
      http::ServerLimits{},
      [&](std::shared_ptr<http::Exchange> aExchange) {
        http::ResponseHead head;
        head.contentLength = kAnswerBytes;
        aExchange->Respond(
          head, {}, false, [&, aExchange](std::error_code aError) {
            if (!aError) {
              write(aExchange, kAnswerBytes);
            }
          });
      });
    return server->Listen({ "127.0.0.1", 0 }).Value();
  });
  {
    TestInstance instance({ .limits = { .maxResponseBytes = kAnswerBytes } });
    instance.Announce("s1", address);
    RawConnection caller(instance.Address());
    caller.Send("GET /svc/demo/x HTTP/1.1\r\nLimpetwood-Workspace: w\r\n\r\n");
    // Wait until the server has written nothing for 100 ms.
    size_t writtenBefore = 0;
    do {
      writtenBefore = written;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    } while (writtenBefore != written || writtenBefore == 0);
    EXPECT_LT(writtenBefore, kAnswerBytes / 2);
    EXPECT_GE(caller.Read(kAnswerBytes), kAnswerBytes);
    EXPECT_TRUE(WaitUntil([&] { return written == kAnswerBytes; }));
  }
  serverThread.Run([&] { server->Close(); });
}

standin::CallerOptions
DrainLoadOptions()
{
  return { .requests = 400,
           .concurrency = 8,
           .timeout = Seconds(10),
           .executionTime = Millis(5),
           .idPrefix = "drain" };
}

// Counts requests that the server executed but whose callers got no response
// because of a drain.
uint64_t
CountInterruptedByDrain(TestInstanceOptions aOptions)
{
  TestServer server({ .id = "s1" });
  TestInstance instance(aOptions);
  instance.Announce("s1", server.Address());
  nlohmann::json summary;
  std::thread callerThread(
    [&] { summary = instance.RunCaller(DrainLoadOptions()); });
  WaitUntil([&] { return server.Executed() > 100; });
  auto drained = instance.Drain(Seconds(10));
  callerThread.join();
  EXPECT_EQ(drained.wait_for(std::chrono::seconds(5)),
            std::future_status::ready);
  uint64_t answered = summary["answered"];
  uint64_t notRun = summary["notRun"];
  EXPECT_GT(answered, 0U);
  EXPECT_GT(notRun, 0U);
  EXPECT_EQ(instance.InFlight(), 0U);
  return server.Executed() - answered;
}

// Guards against a drain that discards the response to a request that the
// server has executed.
TEST(Proxy, DrainInterruptsNoRequest)
{
  EXPECT_EQ(CountInterruptedByDrain({}), 0U);
}

// Verifies that the check above fails without the safeguard.
TEST(Proxy, CheckDetectsRequestsInterruptedByDrain)
{
  TestInstanceOptions options;
  options.proxy.testOnly.endRequestsOnDrain = true;
  EXPECT_GT(CountInterruptedByDrain(options), 0U);
}

// Guards against a shutdown that waits forever for a stalled request, and
// against a caller that is not told that this request may have run.
TEST(Proxy, DrainDeadlineEndsTheRestWithAVerdict)
{
  TestServer server({ .id = "s1", .stallShare = 1 });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  http::FetchResult result;
  std::thread caller([&] { result = instance.Call(MakeRequest("r1")); });
  ASSERT_TRUE(WaitUntil([&] { return server.Executed() == 1; }));
  auto drained = instance.Drain(Millis(50));
  caller.join();
  EXPECT_EQ(FormatOutcome(result), "may_have_run 502 shutdown");
  ASSERT_EQ(drained.wait_for(std::chrono::seconds(5)),
            std::future_status::ready);
  DrainResult counts = drained.get();
  EXPECT_EQ(counts.accepted, 1U);
  EXPECT_EQ(counts.endedEarly, 1U);
  EXPECT_EQ(instance.Counters().endedByShutdown, 1U);
}

// Guards against a deadline that is not enforced when the server never
// responds.
TEST(Proxy, PassedDeadlineEndsRequestWithVerdict)
{
  TestServer server({ .id = "s1", .stallShare = 1 });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  auto result =
    instance.Call(MakeRequest("r1",
                              { { "Limpetwood-Deadline-Ms", "100" },
                                { "Limpetwood-Repeatable", "no" } }));
  EXPECT_EQ(FormatOutcome(result).substr(0, 17), "may_have_run 504 ");
}

// Guards against treating a caller that has shut down only its sending side as
// disconnected.
TEST(Proxy, HalfClosedCallerGetsItsAnswer)
{
  TestServer server({ .id = "s1", .executionTime = Millis(150) });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  RawConnection connection(instance.Address());
  connection.Send("POST /svc/demo/x HTTP/1.1\r\nLimpetwood-Workspace: w\r\n"
                  "Standin-Request-Id: r1\r\n\r\n");
  connection.ShutdownSend();
  EXPECT_NE(connection.ReadAll().find("s1 r1\n"), std::string::npos);
}

// True if the request of a disconnected caller ends within 2 s, with a server
// that takes 4 s to respond.
bool
EndsRequestOfDisconnectedCaller(TestInstanceOptions aOptions)
{
  TestServer server({ .id = "s1", .executionTime = Seconds(4) });
  TestInstance instance(aOptions);
  instance.Announce("s1", server.Address());
  RawConnection connection(instance.Address());
  connection.Send(
    "POST /svc/demo/x HTTP/1.1\r\nLimpetwood-Workspace: w\r\n\r\n");
  EXPECT_TRUE(WaitUntil([&] { return server.Executed() == 1; }));
  connection.Close();
  Millis start = MonotonicNow();
  WaitUntil([&] { return instance.InFlight() == 0; });
  return MonotonicNow() - start < Seconds(2);
}

// Guards against a disconnected caller whose request keeps its slot until the
// server responds.
TEST(Proxy, LostCallerIsNoticed)
{
  EXPECT_TRUE(EndsRequestOfDisconnectedCaller({}));
}

// Verifies that the check above fails without the safeguard.
TEST(Proxy, CheckDetectsIgnoredCallerDisconnect)
{
  TestInstanceOptions options;
  options.proxy.testOnly.ignoreCallerDisconnect = true;
  EXPECT_FALSE(EndsRequestOfDisconnectedCaller(options));
}

} // namespace
} // namespace limpetwood::proxy
