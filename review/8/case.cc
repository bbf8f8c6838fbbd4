// An urgent job that lasts, with one task on each executor of its kind, loses
// one of the two executors; another job, which could run on the other one, is
// never started again.

#include "standin.h"

using namespace standin;

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  Record record(aArguments[2]);
  bool trouble = Argument("TROUBLE", "1") != "0";
  Jobs jobs;
  Deployment deployment(aArguments[1], record);
  deployment.Start();
  if (!deployment.PutConfiguration(
        Configuration(1,
                      json::array({ Route("r-1", "/lohu930/", 0, 4),
                                    Route("r-2", "/pule252/", 1, 4) })))) {
    return 2;
  }
  // 20 executors; two of them are of kind `b`.
  std::vector<std::unique_ptr<Executor>> executors;
  const char* zones[] = { "sogn", "hardanger", "nordfjord" };
  for (int n = 0; n < 20; ++n) {
    executors.push_back(std::make_unique<Executor>(
      "i-" + std::to_string(n),
      deployment.Address(101 + n),
      deployment.Port(30),
      zones[n / 4 % 3],
      std::vector<std::string>{ n % 10 == 9 ? "b" : "a",
                                "r" + std::to_string(n / 4) },
      deployment.Controls(),
      jobs,
      record));
    executors.back()->Start();
  }
  SleepMs(4000);
  auto submit = [&](const std::string& aPrefix,
                    int aNumber,
                    Work aWork,
                    const json& aStep) {
    std::string id = JobId(aNumber);
    jobs.Declare(id, std::move(aWork));
    json body = { { "taskSpec", "work" }, { "steps", json::array({ aStep }) } };
    Message answer =
      deployment.Call("POST", aPrefix + id, kKey, body.dump());
    record.Line("caller: POST %s%s %s: %d",
                aPrefix.c_str(),
                id.c_str(),
                aStep.dump().c_str(),
                answer.status);
    return answer.status == 200;
  };
  // The tenant's guarantee is 8 GPUs; the urgent job needs 2 of them.
  if (!submit("/lohu930/",
              100,
              { .ms = 1000, .lasts = true },
              { { "count", 2 },
                { "cpu", 1000 },
                { "memoryRequestMb", 1024 },
                { "gpu", 1 },
                { "estimatedMs", 1000 },
                { "longRunning", true },
                { "antiAffinity", 1 },
                { "requirements", "b" } })) {
    return 2;
  }
  SleepMs(3000);
  if (!submit("/pule252/",
              1,
              { .ms = 8000 },
              { { "count", 1 },
                { "cpu", 1000 },
                { "memoryRequestMb", 1024 },
                { "gpu", 2 },
                { "estimatedMs", 8000 },
                { "requirements", "b" } })) {
    return 2;
  }
  int64_t trafficEnd = record.Now();
  std::string path = "/pule252/" + JobId(1);
  std::string task = JobId(1) + ".0.0.0";
  auto carrier = [&]() -> Executor* {
    for (const auto& it : executors) {
      auto running = it->Running();
      if (std::find(running.begin(), running.end(), task) != running.end()) {
        return it.get();
      }
    }
    return nullptr;
  };
  for (int n = 0; n < 50 && carrier() == nullptr; ++n) {
    SleepMs(100);
  }
  SleepMs(2000);
  if (carrier() == nullptr) {
    record.Line("the job did not start");
    return 2;
  }
  if (trouble) {
    // srv_crash, how `gone`: 1 of 20.
    record.Line("trouble: executor %s is lost for good", carrier()->Id().c_str());
    carrier()->Crash();
  }
  int64_t idleSince = record.Now();
  int64_t longestIdle = 0;
  std::string last;
  while (record.Now() < trafficEnd + 75'000 && last != "completed") {
    std::string state = deployment.StateOf(path, kKey);
    if (state != last) {
      record.Line("caller: GET %s: %s", path.c_str(), state.c_str());
      last = state;
    }
    if (carrier() != nullptr) {
      idleSince = record.Now();
    }
    if (record.Now() > trafficEnd + 14'000) {
      longestIdle =
        std::max(longestIdle,
                 record.Now() - std::max(idleSince, trafficEnd + 14'000));
    }
    SleepMs(250);
  }
  Executor& other = executors[9]->Running().empty() ? *executors[19] : *executors[9];
  record.Line("at work on the other executor of kind b, %s: %zu task of 1 GPU",
              other.Id().c_str(),
              other.Running().size());
  bool broken = last != "completed" && longestIdle > 3000;
  record.Line(broken ? "LOST: from finish_s after the end of traffic the job has had "
                       "nothing running for %.1f s, and is shown as `%s`"
                     : "held: longest time without a running task %.1f s, state `%s`",
              static_cast<double>(longestIdle) / 1000,
              last.c_str());
  return broken ? 1 : 0;
}
