// Implements the commands of the group `limpetctl log`.

#include "ctl/command.h"
#include "ctl/request_timeline.h"

namespace limpetwood::ctl {

namespace {

namespace po = boost::program_options;

void
NoOptions(po::options_description&)
{
}

int
Explain(Context& aContext)
{
  RequestTimeline timeline(aContext.arguments[0]);
  std::vector<std::string> files(aContext.arguments.begin() + 1,
                                 aContext.arguments.end());
  if (files.empty()) {
    files.emplace_back("-");
  }
  for (const std::string& it : files) {
    std::optional<std::string> text = ReadInput(aContext, it);
    if (!text) {
      return kUsage;
    }
    timeline.Add(*text);
  }
  if (!timeline.HasRequest()) {
    aContext.err << "no line names " << aContext.arguments[0] << '\n';
    return kNotFound;
  }
  if (aContext.json) {
    aContext.out << timeline.AsJson().dump(2) << '\n';
  } else {
    timeline.Print(aContext.out);
  }
  return kSuccess;
}

// The request's id and one log file for each process of the largest supported
// deployment.
constexpr size_t kMaxArguments = 400;

} // namespace

const std::vector<Command>&
LogCommands()
{
  static const std::vector<Command> sCommands{
    { "log",
      "explain",
      "ID [FILE...]",
      1,
      kMaxArguments,
      "show the timeline of one request from log files or standard input",
      NoOptions,
      Explain },
  };
  return sCommands;
}

} // namespace limpetwood::ctl
