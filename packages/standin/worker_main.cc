// Program `standin_worker`: runs the stand-in worker agent. See
// `standin/worker.h`.

#include "standin/worker.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <exception>
#include <iostream>

namespace {

namespace options = boost::program_options;
using limpetwood::Millis;
using limpetwood::standin::WorkerOptions;

int
Run(WorkerOptions aOptions)
{
  boost::asio::io_context context;
  limpetwood::standin::Worker worker(context, std::move(aOptions));
  auto bound = worker.Start();
  if (!bound) {
    std::cerr << "cannot listen: " << bound.Error().message() << "\n";
    return 1;
  }
  std::cout << "listening on "
            << limpetwood::http::FormatEndpoint(bound.Value()) << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) {
      context.stop();
    }
  });
  context.run();
  return 0;
}

int
ParseAndRun(int aCount, char** aArguments)
{
  WorkerOptions it;
  std::string listen;
  std::string instances;
  int64_t freezeMs = 0;
  options::options_description all("standin_worker");
  auto add = all.add_options();
  add("help", "print this text");
  add("id", options::value(&it.id)->default_value(it.id));
  add("zone", options::value(&it.zone)->default_value(it.zone));
  add("rack", options::value(&it.rack)->default_value(it.rack));
  add("cores", options::value(&it.cores)->default_value(it.cores));
  add("memory-mb", options::value(&it.memoryMb)->default_value(it.memoryMb));
  add("accelerators",
      options::value(&it.accelerators)->default_value(it.accelerators));
  add("listen", options::value(&listen)->default_value("127.0.0.1:0"));
  add("instances",
      options::value(&instances),
      "control ports, as [ZONE@]ADDRESS:PORT,...");
  add("fail-all", options::bool_switch(&it.failAll), "fail every task");
  add("refuse-prepare", options::bool_switch(&it.refusePrepare));
  add("freeze-after-ms", options::value(&freezeMs));
  add("event-log", options::value(&it.eventLog));
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, all), values);
  options::notify(values);
  if (values.count("help") > 0) {
    std::cout << all;
    return 0;
  }
  auto endpoint = limpetwood::http::ParseEndpoint(listen);
  auto parsed = limpetwood::standin::ParseInstances(instances, it.zone);
  if (!endpoint || !parsed) {
    std::cerr << "--listen and --instances need numeric ADDRESS:PORT values\n";
    return 2;
  }
  it.listen = endpoint.Value();
  it.instances = parsed.Value();
  it.freezeAfter = Millis(freezeMs);
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
