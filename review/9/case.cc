// A job that prefers one rack loses its executor for good, while there is room
// for it twice over on several racks.

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
        Configuration(1, json::array({ Route("r-1", "/lohu930/", 1, 4) })))) {
    return 2;
  }
  // 20 executors, 4 a rack; in each rack one is of kind `b`.
  std::vector<std::unique_ptr<Executor>> executors;
  const char* zones[] = { "sogn", "hardanger", "nordfjord" };
  for (int n = 0; n < 20; ++n) {
    executors.push_back(std::make_unique<Executor>(
      "i-" + std::to_string(n),
      deployment.Address(101 + n),
      deployment.Port(30),
      zones[n / 4 % 3],
      std::vector<std::string>{ n % 4 == 0 ? "b" : "a",
                                "r" + std::to_string(n / 4) },
      deployment.Controls(),
      jobs,
      record));
    executors.back()->Start();
  }
  SleepMs(4000);
  auto submit = [&](int aNumber, Work aWork, const json& aStep) {
    std::string id = JobId(aNumber);
    jobs.Declare(id, std::move(aWork));
    json body = { { "taskSpec", "work" }, { "steps", json::array({ aStep }) } };
    Message answer =
      deployment.Call("POST", "/lohu930/" + id, kKey, body.dump());
    record.Line("caller: POST %s %s: %d",
                id.c_str(),
                aStep.dump().c_str(),
                answer.status);
    return answer.status == 200;
  };
  // Four jobs that last take 6 of the 8 GPUs of four of the five executors of
  // kind `b`.
  for (int n = 0; n < 4; ++n) {
    if (!submit(100 + n,
                { .ms = 1000, .lasts = true },
                { { "count", 1 },
                  { "cpu", 6000 },
                  { "memoryRequestMb", 6144 },
                  { "gpu", 6 },
                  { "estimatedMs", 1000 },
                  { "longRunning", true },
                  { "requirements", "b" } })) {
      return 2;
    }
  }
  SleepMs(3000);
  if (!submit(1,
              { .ms = 6000 },
              { { "count", 4 },
                { "cpu", 1000 },
                { "memoryRequestMb", 1024 },
                { "gpu", 1 },
                { "estimatedMs", 6000 },
                { "rackSensitive", true },
                { "requirements", "b" } })) {
    return 2;
  }
  int64_t trafficEnd = record.Now();
  std::string path = "/lohu930/" + JobId(1);
  auto runningTasks = [&] {
    size_t out = 0;
    for (const auto& it : executors) {
      for (const std::string& task : it->Running()) {
        out += task.starts_with(JobId(1)) ? 1 : 0;
      }
    }
    return out;
  };
  for (int n = 0; n < 50 && runningTasks() < 4; ++n) {
    SleepMs(100);
  }
  SleepMs(2000);
  Executor* carrier = nullptr;
  for (const auto& it : executors) {
    if (!it->Running().empty() && it->Running()[0].starts_with(JobId(1))) {
      carrier = it.get();
    }
  }
  if (carrier == nullptr) {
    record.Line("the job did not start");
    return 2;
  }
  if (trouble) {
    // srv_crash, how `gone`: 1 of 20.
    record.Line("trouble: executor %s is lost for good", carrier->Id().c_str());
    carrier->Crash();
  }
  // Far longer than a lease, and `finish_s` and 3 s after the end of traffic.
  int64_t idleSince = record.Now();
  int64_t longestIdle = 0;
  std::string last;
  while (record.Now() < trafficEnd + 75'000 && last != "completed") {
    std::string state = deployment.StateOf(path, kKey);
    if (state != last) {
      record.Line("caller: GET %s: %s", path.c_str(), state.c_str());
      last = state;
    }
    if (runningTasks() > 0) {
      idleSince = record.Now();
    }
    if (record.Now() > trafficEnd + 14'000) {
      longestIdle = std::max(longestIdle,
                             record.Now() - std::max(idleSince, trafficEnd + 14'000));
    }
    SleepMs(250);
  }
  // What is free on the executors that are up and of kind `b`.
  int used = 0;
  for (const auto& it : executors) {
    used += static_cast<int>(it->Running().size()) * 6;
  }
  record.Line("GPUs in use: %d of %d; free on executors of kind b: 2 on each of 4",
              used,
              trouble ? 19 * 8 : 20 * 8);
  bool broken = last != "completed" && longestIdle > 3000;
  record.Line(broken ? "LOST: from finish_s after the end of traffic the job has had "
                       "nothing running for %.1f s, and is shown as `%s`"
                     : "held: longest time without a running task %.1f s, state `%s`",
              static_cast<double>(longestIdle) / 1000,
              last.c_str());
  return broken ? 1 : 0;
}
