// Program `standin_backend_server`: runs a stand-in backend server. See
// `standin/backend_server.h`.

#include "standin/backend_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <cstdio>
#include <exception>
#include <iostream>

namespace {

namespace options = boost::program_options;
using limpetwood::Millis;
using limpetwood::standin::BackendOptions;

int
Run(BackendOptions aOptions)
{
  boost::asio::io_context context;
  limpetwood::standin::BackendServer server(context, aOptions);
  auto bound = server.Start();
  if (!bound) {
    std::cerr << "cannot listen: " << bound.Error().message() << "\n";
    return 1;
  }
  std::cout << "listening on "
            << limpetwood::http::FormatEndpoint(bound.Value()) << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) {
      server.Leave([&context] { context.stop(); });
    }
  });
  context.run();
  return 0;
}

int
ParseAndRun(int aCount, char** aArguments)
{
  BackendOptions it;
  std::string listen;
  std::string instances;
  int64_t workMs = 0;
  int64_t freezeMs = 0;
  options::options_description all("standin_backend_server");
  auto add = all.add_options();
  add("help", "print this text");
  add("id", options::value(&it.id)->default_value(it.id));
  add("service", options::value(&it.service)->default_value(it.service));
  add("zone", options::value(&it.zone)->default_value(it.zone));
  add("slots", options::value(&it.slots)->default_value(it.slots));
  add("connections",
      options::value(&it.connections)->default_value(it.connections));
  add("listen", options::value(&listen)->default_value("127.0.0.1:0"));
  add("instances",
      options::value(&instances),
      "control ports, as [ZONE@]ADDRESS:PORT,...");
  add("work-ms",
      options::value(&workMs)->default_value(it.executionTime.Count()));
  add("seed", options::value(&it.seed)->default_value(it.seed));
  add("stall-share", options::value(&it.stallShare));
  add("fail-share", options::value(&it.failShare));
  add("truncate-share", options::value(&it.truncateShare));
  add("close-share", options::value(&it.closeShare));
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
  it.executionTime = Millis(workMs);
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
