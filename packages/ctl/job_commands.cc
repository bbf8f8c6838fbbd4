// Implements the commands of the group `limpetctl job`.

#include "ctl/command.h"
#include "ctl/table.h"
#include "model/job.h"

#include <chrono>
#include <thread>

namespace limpetwood::ctl {

namespace {

namespace po = boost::program_options;

void
NoOptions(po::options_description&)
{
}

void
AddListOptions(po::options_description& aOptions)
{
  aOptions.add_options()(
    "workspace", po::value<std::string>(), "list only jobs of this workspace");
  aOptions.add_options()(
    "state", po::value<std::string>(), "list only jobs in this state");
}

void
AddWaitOptions(po::options_description& aOptions)
{
  aOptions.add_options()("poll-ms",
                         po::value<int64_t>()->default_value(1000),
                         "interval between polls");
  aOptions.add_options()("for-ms",
                         po::value<int64_t>()->default_value(3600000),
                         "stop waiting after this time");
}

void
PrintJob(Context& aContext, const Json& aJob)
{
  std::vector<std::vector<std::string>> rows;
  for (const char* key : { "job",
                           "workspace",
                           "name",
                           "state",
                           "reason",
                           "zone",
                           "attempt",
                           "members" }) {
    rows.push_back({ key, FieldText(aJob, key) });
  }
  for (const auto& [label, key] : { std::pair("submitted", "submittedAtMs"),
                                    std::pair("started", "startedAtMs"),
                                    std::pair("ended", "endedAtMs") }) {
    rows.push_back({ label, TimeText(aJob, key) });
  }
  for (const Json& it : aJob.value("crashes", Json::array())) {
    rows.push_back({ "crash",
                     FieldText(it, "worker") + ", attempt " +
                       FieldText(it, "attempt") + ", member " +
                       FieldText(it, "member") });
  }
  PrintTable(aContext.out, { "FIELD", "VALUE" }, rows);
}

void
PrintJobs(Context& aContext, const Json& aBody)
{
  std::vector<std::vector<std::string>> rows;
  for (const Json& it : aBody.value("jobs", Json::array())) {
    rows.push_back({ FieldText(it, "job"),
                     FieldText(it, "workspace"),
                     FieldText(it, "name"),
                     FieldText(it, "state"),
                     FieldText(it, "zone"),
                     FieldText(it, "members"),
                     TimeText(it, "submittedAtMs"),
                     FieldText(it, "reason") });
  }
  PrintTable(aContext.out,
             { "JOB",
               "WORKSPACE",
               "NAME",
               "STATE",
               "ZONE",
               "MEMBERS",
               "SUBMITTED",
               "REASON" },
             rows);
}

std::string
JobTarget(const Context& aContext)
{
  return "/v1/jobs/" + EncodeSegment(aContext.arguments[0]);
}

int
Submit(Context& aContext)
{
  std::optional<std::string> text = ReadInput(aContext, aContext.arguments[0]);
  if (!text) {
    return kUsage;
  }
  http::Request request;
  request.method = "POST";
  request.target = "/v1/jobs";
  request.body = *text;
  return SendChange(aContext, request);
}

int
Status(Context& aContext)
{
  return GetAndPrint(aContext, JobTarget(aContext), PrintJob);
}

int
List(Context& aContext)
{
  std::string target = "/v1/jobs";
  char separator = '?';
  for (const char* key : { "workspace", "state" }) {
    if (aContext.options.count(key) > 0) {
      target += separator;
      target += std::string(key) + "=" + EncodeSegment(aContext.Option(key));
      separator = '&';
    }
  }
  return GetAndPrint(aContext, target, PrintJobs);
}

int
Cancel(Context& aContext)
{
  http::Request request;
  request.method = "DELETE";
  request.target = JobTarget(aContext);
  return SendChange(aContext, request);
}

int
Wait(Context& aContext)
{
  Millis poll(std::max<int64_t>(aContext.options["poll-ms"].as<int64_t>(), 1));
  Millis end =
    MonotonicNow() + Millis(aContext.options["for-ms"].as<int64_t>());
  http::Request request;
  request.target = JobTarget(aContext);
  while (true) {
    CallResult result = aContext.client.Call(request);
    bool answered = result.verdict == Verdict::kAnswered;
    // Only a final error status ends the wait. Without a final response, for
    // example while an instance restarts, polling continues.
    if (answered && result.response.status >= 300) {
      return ReportResult(aContext, request, result);
    }
    if (answered) {
      Json body = BodyOf(result.response);
      auto state = model::ParseJobState(FieldText(body, "state"));
      if (state && model::IsFinal(*state)) {
        if (aContext.json) {
          aContext.out << result.response.body << '\n';
        } else {
          PrintJob(aContext, body);
        }
        return *state == model::JobState::kSucceeded ? kSuccess
                                                     : kJobNotSucceeded;
      }
    }
    if (MonotonicNow() + poll > end) {
      if (!answered) {
        return ReportResult(aContext, request, result);
      }
      aContext.err << "still waiting: the job is not final\n";
      return kStillWaiting;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(poll.Count()));
  }
}

} // namespace

const std::vector<Command>&
JobCommands()
{
  static const std::vector<Command> sCommands{
    { "job", "submit", "FILE", 1, 1, "submit a job", AddKeyOption, Submit },
    { "job", "status", "JOB", 1, 1, "show one job", NoOptions, Status },
    { "job", "list", "", 0, 0, "list jobs", AddListOptions, List },
    { "job", "cancel", "JOB", 1, 1, "cancel a job", AddKeyOption, Cancel },
    { "job",
      "wait",
      "JOB",
      1,
      1,
      "wait until a job is final",
      AddWaitOptions,
      Wait },
  };
  return sCommands;
}

} // namespace limpetwood::ctl
