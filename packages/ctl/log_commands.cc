// limpetctl log ...

#include "ctl/command.h"
#include "ctl/log_story.h"

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
  LogStory story(aContext.arguments[0]);
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
    story.Add(*text);
  }
  if (!story.Found()) {
    aContext.err << "no line names " << aContext.arguments[0] << '\n';
    return kNotFound;
  }
  if (aContext.json) {
    aContext.out << story.AsJson().dump(2) << '\n';
  } else {
    story.Print(aContext.out);
  }
  return kSuccess;
}

// One file of each process of the largest deployment.
constexpr size_t kMostArguments = 400;

} // namespace

const std::vector<Command>&
LogCommands()
{
  static const std::vector<Command> sCommands{
    { "log",
      "explain",
      "ID [FILE...]",
      1,
      kMostArguments,
      "tell a request's story from log files or standard input",
      NoOptions,
      Explain },
  };
  return sCommands;
}

} // namespace limpetwood::ctl
