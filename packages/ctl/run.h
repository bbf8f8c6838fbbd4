// Entry point of limpetctl: parses the command line and runs the command.

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace limpetwood::ctl {

// Runs one command and returns its exit code; see `ExitCode`. `aArguments` does
// not include the program's name.
int
Run(const std::vector<std::string>& aArguments,
    std::ostream& aOut,
    std::ostream& aErr);

} // namespace limpetwood::ctl
