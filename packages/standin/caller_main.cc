// Program `standin_caller`: runs a stand-in caller. See `standin/caller.h`.

#include "standin/caller.h"

#include "standin/control_client.h"

#include <boost/program_options.hpp>

#include <exception>
#include <iostream>

namespace {

namespace options = boost::program_options;
using limpetwood::Millis;
using limpetwood::standin::CallerOptions;

int
Run(CallerOptions aOptions)
{
  boost::asio::io_context context;
  limpetwood::standin::Caller caller(context, std::move(aOptions));
  caller.Start([](const nlohmann::json& aSummary) {
    std::cout << aSummary.dump() << std::endl;
  });
  context.run();
  return 0;
}

int
ParseAndRun(int aCount, char** aArguments)
{
  CallerOptions it;
  std::string instances;
  int64_t durationMs = 0;
  int64_t timeoutMs = 0;
  int64_t deadlineMs = 0;
  int64_t workMs = 0;
  options::options_description all("standin_caller");
  auto add = all.add_options();
  add("help", "print this text");
  add("instances",
      options::value(&instances),
      "caller ports, as ADDRESS:PORT,...");
  add("service", options::value(&it.service)->default_value(it.service));
  add("path", options::value(&it.path)->default_value(it.path));
  add("requests", options::value(&it.requests)->default_value(it.requests));
  add("concurrency",
      options::value(&it.concurrency)->default_value(it.concurrency));
  add("rate", options::value(&it.rate), "requests a second; 0: no limit");
  add("duration-ms",
      options::value(&durationMs)->default_value(it.duration.Count()));
  add("timeout-ms",
      options::value(&timeoutMs)->default_value(it.timeout.Count()));
  add("deadline-ms", options::value(&deadlineMs));
  add("work-ms", options::value(&workMs));
  add("body-bytes", options::value(&it.bodyBytes));
  add("answer-bytes", options::value(&it.answerBytes));
  add("repeatable", options::value(&it.repeatable)->default_value(true));
  add("keyed", options::bool_switch(&it.keyed), "send idempotency keys");
  add("key-zone", options::value(&it.keyZone));
  add("workspace", options::value(&it.workspace));
  add("id-prefix", options::value(&it.idPrefix)->default_value(it.idPrefix));
  add("event-log", options::value(&it.eventLog));
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, all), values);
  options::notify(values);
  if (values.count("help") > 0) {
    std::cout << all;
    return 0;
  }
  auto parsed = limpetwood::standin::ParseInstances(instances, "");
  if (!parsed || parsed.Value().empty()) {
    std::cerr << "--instances needs one or more numeric ADDRESS:PORT values\n";
    return 2;
  }
  for (const auto& entry : parsed.Value()) {
    it.instances.push_back(entry.endpoint);
  }
  it.duration = Millis(durationMs);
  it.timeout = Millis(timeoutMs);
  it.deadline = Millis(deadlineMs);
  it.executionTime = Millis(workMs);
  return Run(std::move(it));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return ParseAndRun(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
