// Declarations shared by the commands of limpetctl: exit codes, the command
// table, options, and functions that send calls and print responses.

#pragma once

#include "ctl/client.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::ctl {

using Json = nlohmann::json;

// Exit codes of limpetctl. Scripts depend on the numbers; do not change them.
enum ExitCode
{
  kSuccess = 0,
  // `job wait`: the job ended in a final state other than succeeded.
  kJobNotSucceeded = 1,
  kUsage = 2,
  // The instance rejected the call; nothing ran.
  kRejected = 3,
  // No instance accepted the call; nothing ran.
  kNotRun = 4,
  // No complete response arrived; the call may have run.
  kMayHaveRun = 5,
  kNotFound = 6,
  kConflict = 7,
  // `job wait`: the job was not final within `--for-ms`.
  kStillWaiting = 8,
};

// Exit codes of `config check`, which are its own, because scripts run it
// before any call is made.
enum CheckExitCode
{
  // No errors, and no warnings or no `--strict`.
  kCheckPassed = 0,
  // Warnings, with `--strict`.
  kCheckWarnings = 1,
  kCheckErrors = 2,
  // Wrong usage, the file cannot be read, or the version in force cannot be
  // read.
  kNotChecked = 3,
};

// Input and output of one command.
struct Context
{
  const boost::program_options::variables_map& options;
  // Positional arguments after the command.
  std::vector<std::string> arguments;
  Client client;
  bool json = false;
  std::ostream& out;
  std::ostream& err;

  // Value of a text option. Throws if the option was not given; see
  // `options.count()`.
  std::string Option(const char* aName) const
  {
    return options[aName].as<std::string>();
  }
};

struct Command
{
  const char* group;
  const char* name;
  // Positional arguments as shown in the usage line.
  const char* arguments;
  size_t minArguments;
  size_t maxArguments;
  const char* summary;
  void (*addOptions)(boost::program_options::options_description&);
  int (*run)(Context&);
  // Exit code for an invalid command line.
  int usageCode = kUsage;
  // Exit code for a response or file that the command could not process.
  int failureCode = kMayHaveRun;
};

// Commands of limpetctl, by the source file that implements them.
const std::vector<Command>&
ConfigCommands();
const std::vector<Command>&
JobCommands();
const std::vector<Command>&
LogCommands();
const std::vector<Command>&
SystemCommands();

// Adds `--key`, for commands that change state.
void
AddKeyOption(boost::program_options::options_description& aOptions);

// Returns the idempotency key given with `--key`, or a new random one. A new
// key is printed to the error stream, so that the operator can repeat the call
// under the same key if no response arrives.
std::string
GetOrCreateIdempotencyKey(Context& aContext);

// Reads a file, or standard input for "-". On failure prints an error and
// returns nullopt.
std::optional<std::string>
ReadInput(Context& aContext, const std::string& aFile);

// The parsed body of a response, or JSON null if it is not JSON.
Json
BodyOf(const http::Response& aResponse);

// A field as text; "-" if it is absent, null or empty.
std::string
FieldText(const Json& aObject, const char* aKey);

// Formats a field in milliseconds since the Unix epoch as UTC; "-" if the field
// is absent or 0.
std::string
TimeText(const Json& aObject, const char* aKey);

// Returns the exit code for the result of a call, `kSuccess` for a 2xx status.
// For any other result also prints the cause to the error stream.
int
ReportResult(Context& aContext,
             const http::Request& aRequest,
             const CallResult&);

// Calls `GET aTarget`. On success prints the body as it is with `--json`, and
// through `aPrint` otherwise. Returns the exit code.
int
GetAndPrint(Context& aContext,
            const std::string& aTarget,
            void (*aPrint)(Context&, const Json&));

// Sends a call that changes state, with an idempotency key. On success prints
// the response body. Returns the exit code.
int
SendChange(Context& aContext, http::Request aRequest);

// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string
EncodeSegment(std::string_view aText);

} // namespace limpetwood::ctl
