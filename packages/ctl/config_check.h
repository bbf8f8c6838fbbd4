// The configuration check of `config check` and `config submit`.

#pragma once

#include "ctl/command.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limpetwood::ctl {

void
AddCheckOptions(boost::program_options::options_description& aOptions);

// Checks a file, and compares it with the version in force if `--instance` was
// given. Returns a `CheckExitCode`.
int
CheckConfiguration(Context& aContext);

// Checks a document that is about to be submitted and prints the findings to
// the error stream. Returns the exit code if the document must not be
// submitted: it has warnings, or it could not be compared with the version in
// force, and `--force` was not given.
//
// Errors do not stop the submission: the instance runs the validator of its own
// release and rejects the document. The document is compared with the version
// in force only if that is `aBaseVersion`; otherwise the submission ends in a
// conflict, or repeats one whose answer was lost.
std::optional<int>
CheckBeforeSubmit(Context& aContext,
                  const std::string& aText,
                  uint64_t aBaseVersion);

} // namespace limpetwood::ctl
