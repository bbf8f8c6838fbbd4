#include "ctl/run.h"

#include "ctl/command.h"

#include <boost/program_options.hpp>

#include <exception>

namespace limpetwood::ctl {

namespace {

namespace po = boost::program_options;

std::vector<Command>
AllCommands()
{
  std::vector<Command> all = ConfigCommands();
  for (const auto* commands :
       { &JobCommands(), &LogCommands(), &SystemCommands() }) {
    all.insert(all.end(), commands->begin(), commands->end());
  }
  return all;
}

void
PrintUsage(std::ostream& aOut)
{
  aOut << "usage: limpetctl GROUP COMMAND [ARGUMENTS] [OPTIONS]\n\n";
  for (const Command& it : AllCommands()) {
    std::string words =
      std::string(it.group) + " " + it.name + " " + it.arguments;
    // The summaries start at the same column unless a command is longer.
    words.resize(std::max<size_t>(words.size(), 26), ' ');
    aOut << "  " << words << it.summary << '\n';
  }
  aOut << "\nlimpetctl GROUP COMMAND --help shows the options.\n"
          "exit codes: 0 success, 1 job did not succeed, 2 usage, 3 rejected, "
          "4 not run,\n5 may have run, 6 not found, 7 conflict, 8 still "
          "waiting\n";
}

po::options_description
OptionsOf(const Command& aCommand)
{
  po::options_description options("options");
  options.add_options()(
    "instance",
    po::value<std::string>()->default_value("127.0.0.1:7002"),
    "control addresses, separated by commas");
  options.add_options()("json", po::bool_switch(), "print answers as JSON");
  options.add_options()("timeout-ms",
                        po::value<int64_t>()->default_value(5000),
                        "time limit of each attempt");
  options.add_options()("help", po::bool_switch(), "show this text");
  aCommand.addOptions(options);
  return options;
}

bool
ParseInstances(const std::string& aList,
               std::vector<http::Endpoint>& aInstances,
               std::ostream& aErr)
{
  for (size_t at = 0; at <= aList.size();) {
    size_t end = std::min(aList.find(',', at), aList.size());
    std::string item = aList.substr(at, end - at);
    Result<http::Endpoint> endpoint = http::ParseEndpoint(item);
    if (!endpoint) {
      aErr << "--instance: \"" << item
           << "\"; expected a numeric address with a port\n";
      return false;
    }
    aInstances.push_back(endpoint.Value());
    at = end + 1;
  }
  return true;
}

// Throws `po::error` for an invalid command line.
int
RunCommand(const Command& aCommand,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           std::ostream& aErr)
{
  po::options_description visible = OptionsOf(aCommand);
  po::options_description all;
  all.add(visible).add_options()(
    "arguments", po::value<std::vector<std::string>>(), "");
  po::positional_options_description positional;
  positional.add("arguments", -1);
  po::variables_map values;
  po::store(po::command_line_parser(aArguments)
              .options(all)
              .positional(positional)
              .run(),
            values);
  if (values["help"].as<bool>()) {
    aOut << "usage: limpetctl " << aCommand.group << ' ' << aCommand.name << ' '
         << aCommand.arguments << " [OPTIONS]\n"
         << aCommand.summary << "\n\n"
         << visible;
    return kSuccess;
  }
  po::notify(values);
  std::vector<std::string> arguments;
  if (values.count("arguments") > 0) {
    arguments = values["arguments"].as<std::vector<std::string>>();
  }
  std::vector<http::Endpoint> instances;
  int64_t timeout = values["timeout-ms"].as<int64_t>();
  if (arguments.size() < aCommand.minArguments ||
      arguments.size() > aCommand.maxArguments || timeout < 1 ||
      !ParseInstances(values["instance"].as<std::string>(), instances, aErr)) {
    aErr << "usage: limpetctl " << aCommand.group << ' ' << aCommand.name << ' '
         << aCommand.arguments << " [OPTIONS]; see --help\n";
    return aCommand.usageCode;
  }
  Context context{ values,
                   std::move(arguments),
                   Client(std::move(instances), Millis(timeout)),
                   values["json"].as<bool>(),
                   aOut,
                   aErr };
  return aCommand.run(context);
}

} // namespace

int
Run(const std::vector<std::string>& aArguments,
    std::ostream& aOut,
    std::ostream& aErr)
{
  if (aArguments.empty() || aArguments[0] == "--help") {
    PrintUsage(aArguments.empty() ? aErr : aOut);
    return aArguments.empty() ? kUsage : kSuccess;
  }
  for (const Command& it : AllCommands()) {
    if (aArguments.size() < 2 || aArguments[0] != it.group ||
        aArguments[1] != it.name) {
      continue;
    }
    try {
      return RunCommand(
        it, { aArguments.begin() + 2, aArguments.end() }, aOut, aErr);
    } catch (const po::error& error) {
      aErr << error.what() << '\n';
      return it.usageCode;
    } catch (const std::exception& error) {
      // For example, a field of the response has an unexpected type.
      aErr << "unexpected answer: " << error.what() << '\n';
      return it.failureCode;
    }
  }
  PrintUsage(aErr);
  return kUsage;
}

} // namespace limpetwood::ctl
