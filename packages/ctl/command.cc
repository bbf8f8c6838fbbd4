#include "ctl/command.h"

#include "base/json.h"

#include <array>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace limpetwood::ctl {

namespace {

void
PrintFaults(std::ostream& aErr, const Json& aBody)
{
  if (!aBody.is_object() || !aBody.contains("faults") ||
      !aBody["faults"].is_array()) {
    return;
  }
  for (const Json& it : aBody["faults"]) {
    aErr << "  " << FieldText(it, "path") << ": " << FieldText(it, "value")
         << "; expected " << FieldText(it, "expected") << '\n';
  }
}

std::string
ReasonOf(const Json& aBody, const http::Response& aResponse)
{
  std::string reason = FieldText(aBody, "reason");
  return reason == "-" ? "status " + std::to_string(aResponse.status) : reason;
}

int
ExitCodeForStatus(int aStatus)
{
  if (aStatus < 300) {
    return kSuccess;
  }
  if (aStatus == 404) {
    return kNotFound;
  }
  return aStatus == 409 ? kConflict : kRejected;
}

} // namespace

void
AddKeyOption(boost::program_options::options_description& aOptions)
{
  aOptions.add_options()("key",
                         boost::program_options::value<std::string>(),
                         "idempotency key of an earlier attempt");
}

std::string
GetOrCreateIdempotencyKey(Context& aContext)
{
  if (aContext.options.count("key") > 0) {
    return aContext.Option("key");
  }
  std::random_device source;
  std::string key = "ctl-";
  // 24 hexadecimal digits hold 96 random bits.
  for (int n = 0; n < 24; ++n) {
    key += "0123456789abcdef"[source() & 15U];
  }
  aContext.err << "idempotency key: " << key
               << " (repeat with --key after a lost answer)\n";
  return key;
}

std::optional<std::string>
ReadInput(Context& aContext, const std::string& aFile)
{
  if (aFile == "-") {
    return std::string{ std::istreambuf_iterator<char>(std::cin),
                        std::istreambuf_iterator<char>() };
  }
  std::ifstream file(aFile, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file),
                    std::istreambuf_iterator<char>() };
  if (!file.is_open() || file.bad()) {
    aContext.err << aFile << ": cannot be read\n";
    return std::nullopt;
  }
  return text;
}

Json
BodyOf(const http::Response& aResponse)
{
  Json body = ParseJson(aResponse.body);
  return body.is_discarded() ? Json() : body;
}

std::string
FieldText(const Json& aObject, const char* aKey)
{
  if (!aObject.is_object() || !aObject.contains(aKey) ||
      aObject[aKey].is_null()) {
    return "-";
  }
  const Json& value = aObject[aKey];
  std::string text =
    value.is_string() ? value.get<std::string>() : value.dump();
  return text.empty() ? "-" : text;
}

std::string
TimeText(const Json& aObject, const char* aKey)
{
  if (!aObject.is_object() || !aObject.contains(aKey) ||
      !aObject[aKey].is_number_integer() || aObject[aKey] == 0) {
    return "-";
  }
  time_t seconds = aObject[aKey].get<int64_t>() / 1000;
  std::tm parts{};
  std::array<char, 32> buf{};
  if (!gmtime_r(&seconds, &parts) ||
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts) ==
        0) {
    return "-";
  }
  return buf.data();
}

int
ReportResult(Context& aContext,
             const http::Request& aRequest,
             const CallResult& aResult)
{
  Json body = BodyOf(aResult.response);
  if (aResult.verdict != Verdict::kAnswered) {
    for (const std::string& it : aResult.attempts) {
      aContext.err << it << '\n';
    }
    // A GET changes no state and is safe to repeat, so it counts as not run.
    bool mayHaveRun =
      aResult.verdict == Verdict::kMayHaveRun && aRequest.method != "GET";
    aContext.err << (mayHaveRun ? "may have run: no complete answer\n"
                                : "not run: no instance accepted the call\n");
    return mayHaveRun ? kMayHaveRun : kNotRun;
  }
  int code = ExitCodeForStatus(aResult.response.status);
  if (code != kSuccess) {
    // Indexed by the exit code from `kRejected` on. `kNotRun` and `kMayHaveRun`
    // cannot occur here.
    const char* kinds[] = { "rejected", "", "", "not found", "conflict" };
    aContext.err << kinds[code - kRejected] << ": "
                 << ReasonOf(body, aResult.response) << '\n';
    PrintFaults(aContext.err, body);
    if (aContext.json) {
      aContext.out << aResult.response.body << '\n';
    }
  }
  return code;
}

int
GetAndPrint(Context& aContext,
            const std::string& aTarget,
            void (*aPrint)(Context&, const Json&))
{
  http::Request request;
  request.target = aTarget;
  CallResult result = aContext.client.Call(request);
  int code = ReportResult(aContext, request, result);
  if (code == kSuccess && aContext.json) {
    aContext.out << result.response.body << '\n';
  } else if (code == kSuccess) {
    aPrint(aContext, BodyOf(result.response));
  }
  return code;
}

int
SendChange(Context& aContext, http::Request aRequest)
{
  aRequest.headers.Set("Limpetwood-Idempotency-Key",
                       GetOrCreateIdempotencyKey(aContext));
  CallResult result = aContext.client.Call(aRequest);
  int code = ReportResult(aContext, aRequest, result);
  if (code == kSuccess && !result.response.body.empty()) {
    aContext.out << result.response.body << '\n';
  }
  return code;
}

std::string
EncodeSegment(std::string_view aText)
{
  std::string encoded;
  for (char it : aText) {
    auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) || it == '-' || it == '.' || it == '_' ||
        it == '~') {
      encoded += it;
    } else {
      encoded += '%';
      encoded += "0123456789ABCDEF"[byte >> 4U];
      encoded += "0123456789ABCDEF"[byte & 15U];
    }
  }
  return encoded;
}

} // namespace limpetwood::ctl
