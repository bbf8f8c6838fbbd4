// The scenarios of the review's scripts.
//
//   scenario NAME --binary FILE --folder DIR --record FILE [--calm]
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the scenario could
// not run.

#include "lab.h"

#include <csignal>
#include <iostream>

using namespace lab;

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct Options
{
  std::string binary;
  std::string folder;
  bool calm = false;
};

int
CouldNotRun(const std::string& aReason)
{
  Record("could not run: " + aReason);
  return kNotRun;
}

int
Verdict(bool aBroken, const std::string& aText)
{
  Record((aBroken ? "BROKEN: " : "held: ") + aText);
  std::cout << (aBroken ? "BROKEN: " : "held: ") << aText << '\n';
  return aBroken ? kBroken : kHeld;
}

// Adds executors that listen on addresses of their own.
void
AddExecutors(Executors& aAll, const Deployment& aDeployment, int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    Endpoint listen{ aDeployment.AddressIn(43, n + 1),
                     aDeployment.ExecutorPort() };
    aAll.Add(std::make_unique<Executor>(aAll,
                                        "i-" + std::to_string(1001 + n),
                                        listen,
                                        listen,
                                        aDeployment.Controls()));
  }
}

json
OneStepJob(int aTasks, int aGpus, int64_t aWorkMs)
{
  return { { "taskSpec", "work=" + std::to_string(aWorkMs) },
           { "steps",
             { { { "count", aTasks },
                 { "cpu", 1000 * aGpus },
                 { "memoryRequestMb", 1024 },
                 { "gpu", aGpus },
                 { "estimatedMs", aWorkMs } } } } };
}

// Sends a call of a client and records it with its answer.
Response
CallClient(const Endpoint& aEntry, const Request& aRequest)
{
  Connection connection(aEntry);
  Response response = connection.Call(aRequest, 3000);
  Record("call " + aRequest.method + " " + aRequest.target + " to " +
         aEntry.Text() + ": " + std::to_string(response.status) + " " +
         response.body);
  return response;
}

// Hands the job in as a client does, with the same id until the answer is
// clear.
bool
Submit(Deployment& aDeployment, const std::string& aPath, const json& aJob)
{
  for (int n = 0; n < 6; ++n) {
    Response response =
      CallClient(aDeployment.Entry(n % 2), ClientRequest("POST", aPath, aJob));
    if (response.status / 100 == 2) {
      return true;
    }
    SleepMs(500);
  }
  return false;
}

template<typename F>
bool
WaitUntil(F aCondition, int64_t aTimeoutMs)
{
  int64_t until = NowMs() + aTimeoutMs;
  while (!aCondition() && NowMs() < until) {
    SleepMs(5);
  }
  return aCondition();
}

bool
Prepare(Deployment& aDeployment, const std::vector<Queue>& aQueues)
{
  return aDeployment.PutConfiguration(Configuration(7, aQueues), 20000) &&
         aDeployment.WaitReady(10000);
}

// The links between one executor and the system.
struct ExecutorLinks
{
  std::unique_ptr<Link> orders;
  std::vector<std::unique_ptr<Link>> reports;

  // Whether what the system sends reaches the executor.
  void SetCut(bool aCut)
  {
    orders->cutToTarget = aCut;
    for (auto& it : reports) {
      it->cutFromTarget = aCut;
    }
  }
};

// A worker that leaves is cut off in one direction while its leave is under
// way: the leave arrives, its acknowledgement does not. The worker runs on and
// ends some seconds later.
int
RunLeave(const Options& aOptions)
{
  constexpr int kWorkers = 8;
  constexpr int64_t kCutMs = 5500;
  constexpr int64_t kEndAfterMs = 5000;
  Deployment deployment(aOptions.binary, aOptions.folder, 2);
  if (!Prepare(deployment, { { "r-1", "/lohu930/", 1, 3 } })) {
    return CouldNotRun("the system did not start");
  }
  std::vector<ExecutorLinks> links(kWorkers);
  Executors fleet;
  uint16_t port = deployment.ExecutorPort();
  for (int n = 0; n < kWorkers; ++n) {
    Endpoint listen{ deployment.AddressIn(43, n + 1), port };
    Endpoint announced{ deployment.AddressIn(44, n + 1), port };
    links[n].orders = std::make_unique<Link>(announced, listen);
    std::vector<Endpoint> controls;
    std::map<Endpoint, Endpoint> linkOf;
    for (int it = 0; it < 3; ++it) {
      Endpoint direct = deployment.Control(it);
      Endpoint link{ deployment.AddressIn(50 + it, n + 1), direct.port };
      links[n].reports.push_back(std::make_unique<Link>(link, direct));
      controls.push_back(link);
      linkOf[direct] = link;
    }
    fleet.Add(std::make_unique<Executor>(
      fleet, "i-" + std::to_string(1001 + n), listen, announced, controls));
    fleet.all.back()->links = linkOf;
  }
  SleepMs(4000);
  std::string jobId = "5c0e7a21d94b36f8";
  std::string task = jobId + ".0.0.0";
  if (!Submit(deployment, "/lohu930/" + jobId, OneStepJob(1, 8, 30000))) {
    return CouldNotRun("the job was not accepted");
  }
  if (!WaitUntil([&] { return fleet.RunnerOf(task) != nullptr; }, 10000)) {
    return CouldNotRun("the job did not start");
  }
  size_t number = 0;
  while (!fleet.all[number]->Runs(task)) {
    ++number;
  }
  Executor& leaver = *fleet.all[number];
  SleepMs(1000);
  leaver.SetDraining();
  if (!leaver.Heartbeat()) {
    return CouldNotRun("draining was not acknowledged");
  }
  Record("draining of " + leaver.Id() + " acknowledged");
  // `drainMs` is 2,000, and a little longer.
  SleepMs(2500);
  if (!leaver.Heartbeat()) {
    return CouldNotRun("a heartbeat was not acknowledged");
  }
  int64_t cutAt = NowMs();
  if (!aOptions.calm) {
    Record("link: nothing from the system reaches " + leaver.Id() +
           " any more");
    links[number].SetCut(true);
    SleepMs(200);
  }
  bool acknowledged = leaver.Leave();
  if (acknowledged != aOptions.calm) {
    return CouldNotRun("the acknowledgement of the leave is not as planned");
  }
  bool broken = false;
  std::string text = "the task ran on one worker at a time";
  int64_t endAt = NowMs() + (acknowledged ? 0 : kEndAfterMs - 1000);
  while (NowMs() < endAt) {
    for (auto& it : fleet.all) {
      if (!broken && it.get() != &leaver && it->Runs(task) &&
          leaver.Runs(task)) {
        broken = true;
        text = "TWICE: " + task + " runs on " + leaver.Id() +
               ", which is up, and on " + it->Id() + ", " +
               std::to_string(NowMs() - cutAt) + " ms after the cut began";
        Record(text);
      }
    }
    SleepMs(5);
  }
  leaver.End();
  if (!aOptions.calm) {
    SleepMs(cutAt + kCutMs - NowMs());
    links[number].SetCut(false);
    Record("link: whole again");
  }
  SleepMs(3000);
  return Verdict(broken, text);
}

// A worker crashes twice, each time just after the same task has started on it.
int
RunCrash(const Options& aOptions)
{
  Deployment deployment(aOptions.binary, aOptions.folder, 2);
  if (!Prepare(deployment, { { "r-1", "/lohu930/", 1, 3 } })) {
    return CouldNotRun("the system did not start");
  }
  Executors fleet;
  AddExecutors(fleet, deployment, 8);
  SleepMs(4000);
  std::string id = "5c0e7a21d94b36f8";
  std::string task = id + ".0.0.0";
  std::string path = "/lohu930/" + id;
  if (!Submit(deployment, path, OneStepJob(1, 4, 6800))) {
    return CouldNotRun("the job was not accepted");
  }
  int crashes = aOptions.calm ? 0 : 2;
  for (int n = 0; n < crashes; ++n) {
    Executor* runner = nullptr;
    WaitUntil([&] { return (runner = fleet.RunnerOf(task)) != nullptr; },
              20000);
    if (runner == nullptr) {
      // Before the second crash the job may already have been given up.
      break;
    }
    SleepMs(500);
    runner->Crash();
    SleepMs(2000);
    runner->StartAgain();
  }
  std::string state;
  WaitUntil(
    [&] {
      Response response =
        CallClient(deployment.Entry(0), ClientRequest("GET", path, nullptr));
      json body = json::parse(response.body, nullptr, false);
      state = body.is_object() ? body.value("state", "") : "";
      SleepMs(1000);
      return state == "failed" || state == "completed";
    },
    50000);
  int failedEnds = 0;
  for (const EndEvent& it : fleet.Ends()) {
    failedEnds += it.how == "failed" ? 1 : 0;
  }
  if (state.empty()) {
    return CouldNotRun("the state of the job cannot be read");
  }
  bool broken = state == "failed" && failedEnds < 3;
  return Verdict(broken,
                 "LOST: the job is shown as " + state + ", " +
                   std::to_string(failedEnds) +
                   " runs ended `failed`, maxAttempts is 3, " +
                   std::to_string(crashes) + " crashes of workers");
}

// One worker of ten refuses starts with 503 while the others are full.
int
RunWaiting(const Options& aOptions)
{
  constexpr int kWorkers = 10;
  constexpr int kJobs = 8;
  Deployment deployment(aOptions.binary, aOptions.folder, 2);
  if (!Prepare(
        deployment,
        { { "r-1", "/lohu930/", 0, 3 }, { "r-2", "/pule252/", 0, 3 } })) {
    return CouldNotRun("the system did not start");
  }
  Executors fleet;
  AddExecutors(fleet, deployment, kWorkers);
  SleepMs(4000);
  // The other queue fills nine workers.
  int filled = kWorkers - 1;
  for (int n = 0; n < filled; ++n) {
    std::string id = "00000000000000a" + std::string(1, "0123456789"[n]);
    if (!Submit(deployment, "/pule252/" + id, OneStepJob(1, 8, 25000))) {
      return CouldNotRun("a job was not accepted");
    }
  }
  auto fullWorkers = [&] {
    int count = 0;
    for (auto& it : fleet.all) {
      count += it->RunCount() > 0 ? 1 : 0;
    }
    return count;
  };
  if (!WaitUntil([&] { return fullWorkers() == filled; }, 10000)) {
    return CouldNotRun("the other jobs did not start");
  }
  if (!aOptions.calm) {
    for (auto& it : fleet.all) {
      if (it->RunCount() == 0) {
        it->SetShedding(true);
      }
    }
  }
  int64_t greyAt = NowMs();
  std::vector<std::string> jobs;
  for (int n = 0; n < kJobs; ++n) {
    std::string id = "00000000000000b" + std::to_string(n);
    if (!Submit(deployment, "/lohu930/" + id, OneStepJob(1, 1, 3000))) {
      return CouldNotRun("a job was not accepted");
    }
    jobs.push_back(id);
  }
  int64_t acceptedAt = NowMs();
  // `visible_ms` and 2 s after the last acceptance, and some more.
  SleepMs(acceptedAt + 5300 - NowMs());
  std::set<std::string> begun;
  for (const StartEvent& it : fleet.Starts()) {
    begun.insert(it.task.substr(0, 16));
  }
  int notBegun = 0;
  for (const std::string& it : jobs) {
    notBegun += begun.contains(it) ? 0 : 1;
  }
  Response response =
    CallClient(deployment.Entry(0), ClientRequest("GET", "/lohu930/", nullptr));
  CallClient(deployment.Entry(1),
             ClientRequest("GET", "/lohu930/" + jobs[0], nullptr));
  json body = json::parse(response.body, nullptr, false);
  if (response.status != 200 || !body.contains("waiting")) {
    return CouldNotRun("the queue could not be read");
  }
  int64_t waiting = body["waiting"].get<int64_t>();
  Record("refusing for " + std::to_string(NowMs() - greyAt) + " ms");
  for (auto& it : fleet.all) {
    if (!aOptions.calm && it->RunCount() == 0) {
      it->SetShedding(false);
    }
  }
  bool broken = waiting * 2 < notBegun;
  SleepMs(3000);
  return Verdict(broken,
                 "MIXED: `waiting` is " + std::to_string(waiting) + ", " +
                   std::to_string(notBegun) +
                   " jobs accepted over 5 s before have not begun");
}

// An entry stands still while a client hands a job in. The client gives up and
// cancels the job at another entry.
int
RunCancel(const Options& aOptions)
{
  constexpr int64_t kFreezeMs = 2000;
  Deployment deployment(aOptions.binary, aOptions.folder, 8);
  if (!Prepare(deployment, { { "r-1", "/lohu930/", 1, 3 } })) {
    return CouldNotRun("the system did not start");
  }
  Executors fleet;
  AddExecutors(fleet, deployment, 8);
  SleepMs(4000);
  std::string id = "5c0e7a21d94b36f8";
  std::string path = "/lohu930/" + id;
  json job = OneStepJob(1, 1, 5000);
  json second = job["steps"][0];
  second["dependsOn"] = { 0 };
  job["steps"].push_back(second);
  job["steps"].push_back(second);
  job["steps"][2]["dependsOn"] = { 1 };
  if (!aOptions.calm) {
    deployment.EntryProcess(0).Signal(SIGSTOP);
  }
  int64_t frozenAt = NowMs();
  {
    Connection connection(deployment.Entry(0));
    bool sent = connection.Send(ClientRequest("POST", path, job), 1000);
    Record("call POST " + path + " to " + deployment.Entry(0).Text() +
           (sent ? ": sent, " : ": not sent, ") +
           "the client leaves after 500 ms");
    if (!sent) {
      return CouldNotRun("the job was not sent");
    }
    SleepMs(500);
  }
  Response response =
    CallClient(deployment.Entry(1), ClientRequest("DELETE", path, nullptr));
  int64_t cancelledAt = NowMs();
  bool acknowledged = response.status / 100 == 2 || response.status == 410;
  if (!acknowledged) {
    return CouldNotRun("the cancel was not acknowledged");
  }
  if (!aOptions.calm) {
    SleepMs(frozenAt + kFreezeMs - NowMs());
    deployment.EntryProcess(0).Signal(SIGCONT);
  }
  SleepMs(16000);
  CallClient(deployment.Entry(1), ClientRequest("GET", path, nullptr));
  // `cancel_ms` is 3,000; the entry is in touch again 3,000 after the freeze.
  int late = 0;
  for (const StartEvent& it : fleet.Starts()) {
    late += it.at > cancelledAt + 3000 && it.at > frozenAt + kFreezeMs + 3000;
  }
  return Verdict(late > 0,
                 "UNASKED: " + std::to_string(late) +
                   " starts of the job's tasks later than cancel_ms after the "
                   "cancel was answered with " +
                   std::to_string(response.status));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  Options options;
  std::string record;
  std::string name = arguments.empty() ? "" : arguments[0];
  for (size_t n = 1; n < arguments.size(); ++n) {
    if (arguments[n] == "--calm") {
      options.calm = true;
    } else if (n + 1 < arguments.size()) {
      std::string& into = arguments[n] == "--binary"   ? options.binary
                          : arguments[n] == "--folder" ? options.folder
                                                       : record;
      into = arguments[++n];
    }
  }
  OpenRecord(record);
  std::map<std::string, int (*)(const Options&)> scenarios = {
    { "leave", RunLeave },
    { "crash", RunCrash },
    { "waiting", RunWaiting },
    { "cancel", RunCancel },
  };
  if (!scenarios.contains(name) || options.binary.empty() ||
      options.folder.empty()) {
    std::cerr << "usage: scenario NAME --binary FILE --folder DIR --record FILE"
                 " [--calm]\n";
    return kNotRun;
  }
  return scenarios[name](options);
}
