// What the commands of limpetctl share: exit codes, options and the printing of
// answers.

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

// Part of the interface: scripts depend on the numbers.
enum ExitCode
{
  kSuccess = 0,
  // `job wait`: the job ended in another state than succeeded.
  kJobNotSucceeded = 1,
  kUsage = 2,
  // Refused with faults; nothing ran.
  kRejected = 3,
  // No instance took the call; nothing ran.
  kNotRun = 4,
  // No complete answer; the call may have run.
  kMayHaveRun = 5,
  kNotFound = 6,
  kConflict = 7,
  // `job wait`: the job was not final within the time given.
  kStillWaiting = 8,
};

struct Context
{
  const boost::program_options::variables_map& options;
  // Positional arguments after the command.
  std::vector<std::string> arguments;
  Client client;
  bool json = false;
  std::ostream& out;
  std::ostream& err;

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
};

const std::vector<Command>&
ConfigCommands();
const std::vector<Command>&
JobCommands();
const std::vector<Command>&
LogCommands();
const std::vector<Command>&
SystemCommands();

// Adds `--key`, for commands that change something.
void
AddKeyOption(boost::program_options::options_description& aOptions);

// The given idempotency key or a new random one; the key is shown, so that the
// same call can be repeated after a lost answer.
std::string
UseKey(Context& aContext);

// Reads a file, or standard input for "-". Empty after an error, which is
// printed.
std::optional<std::string>
ReadInput(Context& aContext, const std::string& aFile);

// The body of an answer, or null if it is not JSON.
Json
BodyOf(const http::Response& aResponse);

// A field as text; "-" if it is absent.
std::string
FieldText(const Json& aObject, const char* aKey);

// Milliseconds since the epoch as UTC; "-" if absent or 0.
std::string
TimeText(const Json& aObject, const char* aKey);

// Prints why a call did not succeed and returns the exit code; 0 after 2xx.
int
Conclude(Context& aContext, const http::Request& aRequest, const CallResult&);

// Calls `GET aTarget`. On success prints the body with `--json`, or else calls
// `aPrint` with it.
int
Show(Context& aContext,
     const std::string& aTarget,
     void (*aPrint)(Context&, const Json&));

// Sends a change with an idempotency key; on success prints the body.
int
Send(Context& aContext, http::Request aRequest);

// Percent-encodes what is not an unreserved character.
std::string
EncodeSegment(std::string_view aText);

} // namespace limpetwood::ctl
