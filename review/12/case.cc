// Case 12: an order to take a zone back is delivered to a daemon that stands
// still, and is resent to another one. The operator evacuates the zone again.
// When the daemon wakes, it has the old order carried out, and tasks start in
// the evacuated zone.

#include "standin.h"

using namespace standin;

namespace {

// As kowhai-sched-grown has them.
constexpr int64_t kEvacuationMs = 5000;
constexpr int64_t kContactTimeoutMs = 4000;

int
Play(Record& record, Deployment& deployment)
{
  deployment.zones = { "akl-a", "akl-b", "hlz-a" };
  deployment.maxHoldMs = 6000;
  deployment.stopTimeoutMs = 200;
  deployment.AddControl("core-akl-a-1", "akl-a", 11);
  deployment.AddControl("core-akl-b-1", "akl-b", 12);
  deployment.AddControl("core-hlz-a-1", "hlz-a", 13);
  deployment.AddEntry("front-akl-a-1", "akl-a", 21);
  deployment.AddEntry("front-akl-b-1", "akl-b", 22);
  for (const auto& [name, spec] : deployment.daemons) {
    deployment.Start(name, true);
  }
  if (!deployment.OrderUntilAcknowledged(
        deployment.controls, "/Configuration.Put", Configuration(1), 20000)) {
    return kCouldNotRun;
  }
  Ledger ledger;
  std::vector<std::unique_ptr<Executor>> executors;
  for (int n = 0; n < 9; ++n) {
    auto added = std::make_unique<Executor>(
      deployment,
      ledger,
      "i-7f3a91c" + std::to_string(n),
      deployment.zones[static_cast<size_t>(n) % 3],
      deployment.Address(101 + n),
      std::vector<std::string>{ "b", "r1-" + std::to_string(n / 4) });
    added->workOf = [](const std::string&) { return 1500; };
    added->daemons = deployment.controls;
    executors.push_back(std::move(added));
    executors.back()->Start();
  }
  SleepMs(3000);
  const std::string zone = "hlz-a";
  std::string leader = deployment.NameAt(executors[0]->HeartbeatAddress());
  std::string frozen;
  std::string other;
  for (const std::string& it : deployment.controls) {
    if (it != leader) {
      (frozen.empty() ? frozen : other) = it;
    }
  }
  record("the leader is " + leader);
  if (leader.empty()) {
    return kCouldNotRun;
  }
  // The zone is evacuated.
  if (!deployment.OrderUntilAcknowledged(
        { other, leader }, "/Evacuation.Start/" + zone, "", 5000)) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  // It is taken back. The operator's first choice stands still; the order is
  // resent to the next daemon, and acknowledged there.
  if (WithTrouble()) {
    deployment.Signal(frozen, SIGSTOP);
  }
  int64_t frozenAt = NowMs();
  if (!deployment.OrderUntilAcknowledged(
        { frozen, other }, "/Evacuation.End/" + zone, "", 5000)) {
    return kCouldNotRun;
  }
  SleepMs(1500);
  // It is evacuated again, and acknowledged.
  if (!deployment.OrderUntilAcknowledged(
        { other, leader }, "/Evacuation.Start/" + zone, "", 5000)) {
    return kCouldNotRun;
  }
  int64_t acknowledgedAt = NowMs();
  while (NowMs() - frozenAt < 6000) {
    SleepMs(10);
  }
  if (WithTrouble()) {
    deployment.Signal(frozen, SIGCONT);
  }
  int64_t awakeAt = NowMs();
  // Work comes for 12 s, more than the other zones' executors have room for.
  Client client(deployment);
  for (int n = 0; n < 48; ++n) {
    char job[17];
    std::snprintf(job, sizeof job, "5c0e7a21d94b%04x", n);
    client.Send(
      "POST",
      job,
      json({ { "taskSpec", "x" }, { "steps", OneStep(2, "b", 1500) } }).dump(),
      n);
    SleepMs(250);
  }
  // EVAC: later than `evacuationMs` after the acknowledgement, by a machine in
  // touch: `contactTimeoutMs` after the last disruption.
  int64_t from =
    std::max(acknowledgedAt + kEvacuationMs, awakeAt + kContactTimeoutMs);
  std::lock_guard lock(ledger.mutex);
  size_t inZone = 0;
  size_t elsewhere = 0;
  for (const auto& it : ledger.starts) {
    bool evacuated = std::any_of(
      executors.begin(), executors.end(), [&](const auto& aExecutor) {
        return aExecutor->id == it.executor && aExecutor->zone == zone;
      });
    if (it.at > from) {
      ++(evacuated ? inZone : elsewhere);
    }
  }
  record("starts later than " + std::to_string(from - acknowledgedAt) +
         " ms after the acknowledgement: " + std::to_string(inZone) +
         " in the evacuated zone, " + std::to_string(elsewhere) +
         " in the others");
  if (inZone > 0) {
    record("EVAC: tasks start in " + zone + ", which was not taken back");
  }
  return inZone > 0 ? kBroken : elsewhere > 0 ? kHeld : kCouldNotRun;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return Main(aCount, aArguments, Play);
}
