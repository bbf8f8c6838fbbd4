// Case 12: the only executor with room for one task of a job that lasts loses
// power four times. The job is shown as failed, and its other task, which runs
// on a sound executor, is stopped.

#include "standin.h"

using namespace standin;

namespace {

constexpr int kCrashes = 4;

int
Play(Record& record, Deployment& deployment)
{
  deployment.AddControl("core-sogn-1", "sogn", 11);
  deployment.AddControl("core-hardanger-1", "hardanger", 12);
  deployment.AddControl("core-nordfjord-1", "nordfjord", 13);
  deployment.AddEntry("front-sogn-1", "sogn", 21);
  deployment.AddEntry("front-hardanger-1", "hardanger", 22);
  for (const auto& [name, spec] : deployment.daemons) {
    deployment.Start(name, true);
  }
  if (!deployment.OrderUntilAcknowledged(
        deployment.controls, "/Configuration.Put", Configuration(1), 20000)) {
    return kCouldNotRun;
  }
  Ledger ledger;
  std::vector<std::unique_ptr<Executor>> executors;
  for (int n = 0; n < 8; ++n) {
    // Two executors of kind "b"; each has room for one task.
    auto added = std::make_unique<Executor>(
      deployment,
      ledger,
      "i-7f3a91c" + std::to_string(n),
      deployment.zones[static_cast<size_t>(n) % 3],
      deployment.Address(101 + n),
      std::vector<std::string>{ n < 2 ? "b" : "a",
                                "r1-" + std::to_string(n / 4) });
    added->workOf = [](const std::string&) { return 0; };
    added->daemons = deployment.controls;
    executors.push_back(std::move(added));
    executors.back()->Start();
  }
  SleepMs(3000);
  Client client(deployment);
  std::string job = "5c0e7a21d94b36f8";
  json steps = OneStep(2, "b", 2000);
  steps[0]["longRunning"] = true;
  if (!client.Submit(job, steps, 5000)) {
    return kCouldNotRun;
  }
  Executor& flaky = *executors[0];
  Executor& sound = *executors[1];
  auto bothRun = [&](int64_t aTimeoutMs, int64_t aFor) {
    int64_t until = NowMs() + aTimeoutMs;
    while (NowMs() < until) {
      if (flaky.RunningFor(job) >= aFor && sound.RunningFor(job) >= aFor) {
        return true;
      }
      SleepMs(20);
    }
    return false;
  };
  if (!bothRun(8000, 1)) {
    return kCouldNotRun;
  }
  if (WithTrouble()) {
    for (int n = 0; n < kCrashes; ++n) {
      // It has worked for three seconds, unless it was not started again.
      if (!bothRun(15000, 3000)) {
        break;
      }
      flaky.Crash();
      SleepMs(4000);
      flaky.Start();
    }
  } else {
    SleepMs(40000);
  }
  // All executors are up. From 6 s after its last run each task that lasts has
  // to run again.
  SleepMs(10000);
  std::string state = client.StateOf(job);
  record("client    sees " + job + " as '" + state + "'");
  bool broken = false;
  size_t failed = 0;
  {
    std::lock_guard lock(ledger.mutex);
    failed = static_cast<size_t>(
      std::count_if(ledger.ends.begin(), ledger.ends.end(), [](const auto& it) {
        return it->how == "failed";
      }));
  }
  if (state == "failed" || state == "cancelled") {
    record("LOST: nobody has cancelled the job, and it is shown as '" + state +
           "'; ends 'failed' that executors listed: " + std::to_string(failed));
    broken = true;
  }
  if (!flaky.Runs(job) || !sound.Runs(job)) {
    record(std::string("LOST: tasks of the job that lasts run on ") +
           (flaky.Runs(job) ? "the executor that had crashed only"
            : sound.Runs(job) ? "the sound executor only"
                              : "no executor") +
           ", 10 s after the last start of an executor");
    broken = true;
  }
  return broken ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return Main(aCount, aArguments, Play);
}
