// Case 11: an executor starts anew under its id; the scheduler still sends it
// the `ackCursor` of its earlier life, which makes it forget the end of a new
// run, and the task is run again.

#include "standin.h"

using namespace standin;

namespace {

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
    std::string kind = n == 0 ? "b" : "a";
    auto added = std::make_unique<Executor>(
      deployment,
      ledger,
      "i-7f3a91c" + std::to_string(n),
      deployment.zones[static_cast<size_t>(n) % 3],
      deployment.Address(101 + n),
      std::vector<std::string>{ kind, "r1-" + std::to_string(n / 4) });
    added->workOf = [](const std::string&) { return 300; };
    added->daemons = deployment.controls;
    executors.push_back(std::move(added));
    executors.back()->Start();
  }
  SleepMs(3000);
  Client client(deployment);
  // The only executor of kind "b" works, so that ends of it are taken note of.
  Executor& executor = *executors[0];
  for (int n = 1; n <= 3; ++n) {
    std::string job = "5c0e7a21d94b36f" + std::to_string(n);
    if (!client.Submit(job, OneStep(1, "b", 300), 5000) ||
        client.AwaitState(job, "completed", 8000) != "completed") {
      return kCouldNotRun;
    }
  }
  // Settled, no disruption: all of its ends are taken note of.
  SleepMs(3000);
  std::string leader = deployment.NameAt(executor.HeartbeatAddress());
  std::string frozen;
  for (const std::string& it : deployment.controls) {
    if (it != leader) {
      frozen = it;
    }
  }
  record("the leader is " + leader);
  if (leader.empty()) {
    return kCouldNotRun;
  }
  // An executor that starts picks any daemon; this one picks the frozen one,
  // and after a second without a response the next one.
  executor.daemons = { frozen, leader };
  std::string job = "5c0e7a21d94b36ff";
  if (WithTrouble()) {
    deployment.Signal(frozen, SIGSTOP);
    executor.Crash();
    SleepMs(500);
    executor.Start();
  }
  if (!client.Submit(job, OneStep(1, "b", 300), 5000)) {
    return kCouldNotRun;
  }
  SleepMs(3500);
  if (WithTrouble()) {
    deployment.Signal(frozen, SIGCONT);
  }
  if (client.AwaitState(job, "completed", 20000).empty()) {
    return kCouldNotRun;
  }
  SleepMs(2000);
  // TWICE: a start after a run has ended `done`, if that end is taken note of
  // then or later, unless the executor's lease lapsed between the two.
  std::lock_guard lock(ledger.mutex);
  bool broken = false;
  for (const auto& end : ledger.ends) {
    for (const auto& start : ledger.starts) {
      if (end->how == "done" && end->noted > 0 && !end->lapsed &&
          start.task == end->task && start.at > end->at) {
        record("TWICE: " + start.task + " run " + std::to_string(start.run) +
               " started " + std::to_string(start.at - end->at) +
               " ms after run " + std::to_string(end->run) +
               " had ended done; that end was taken note of " +
               std::to_string(end->noted - end->at) + " ms after it");
        broken = true;
      }
    }
  }
  return broken ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return Main(aCount, aArguments, Play);
}
