// limpetwoodd: the daemon that runs on each instance.

#include "daemon/process.h"
#include "model/settings.h"
#include "platform/run.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <string>

namespace {

namespace options = boost::program_options;
using namespace limpetwood;

int
Run(int aCount, char** aArguments)
{
  options::options_description description(
    "limpetwoodd --settings FILE [--check-settings] | --platform");
  auto add = description.add_options();
  add("settings", options::value<std::string>(), "settings file (JSON)");
  add("check-settings", "check the settings and exit with 0 or 2");
  add("platform", "run in the role that the platform's settings give");
  add("version", "print the version");
  add("help", "print this text");
  options::variables_map parsed;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 parsed);
  options::notify(parsed);
  if (parsed.contains("help")) {
    std::cout << description;
    return daemon::kExitOk;
  }
  if (parsed.contains("version")) {
    std::cout << "limpetwoodd 0.1.0\n";
    return daemon::kExitOk;
  }
  if (parsed.contains("platform")) {
    return platform::Run(parsed.contains("settings")
                           ? parsed["settings"].as<std::string>()
                           : std::string());
  }
  if (!parsed.contains("settings")) {
    std::cerr << "limpetwoodd: --settings is required\n" << description;
    return daemon::kExitBadSettings;
  }
  auto file = parsed["settings"].as<std::string>();
  auto settings = model::LoadSettings(file);
  for (const model::Fault& it : settings.faults) {
    std::cerr << model::FormatFault(file, it) << '\n';
  }
  if (!settings.Ok()) {
    return daemon::kExitBadSettings;
  }
  if (parsed.contains("check-settings")) {
    std::cout << file << ": settings are valid\n";
    return daemon::kExitOk;
  }
  return daemon::RunDaemon(settings.value);
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "limpetwoodd: " << error.what() << '\n';
    return daemon::kExitBadSettings;
  }
}
