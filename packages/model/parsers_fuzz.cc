// libFuzzer target for all parsers of external text. The first byte selects the
// parser. Accepted input must be equal after it is written and parsed again.

#include "model/check.h"
#include "model/delta.h"
#include "model/settings.h"
#include "model/validate.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace {

namespace model = limpetwood::model;

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

void
TryDocument(std::string_view aText)
{
  auto parsed = model::ParseDocument(aText);
  if (!parsed.Ok()) {
    return;
  }
  auto again =
    model::ParseDocument(model::WriteDocument(parsed.value.document));
  Require(again.Ok() && again.value == parsed.value);
  auto read =
    model::ReadPlannedDocument(model::WritePlannedDocument(parsed.value));
  Require(read.Ok() && read.Value() == parsed.value);
}

void
TrySettings(std::string_view aText)
{
  auto parsed = model::ParseSettings(aText);
  if (parsed.Ok()) {
    auto again = model::ParseSettings(model::WriteSettings(parsed.value));
    Require(again.Ok() && again.value == parsed.value);
  }
}

void
TryJob(std::string_view aText)
{
  auto parsed = model::ParseJobSpec(aText);
  if (parsed.Ok()) {
    auto again = model::ParseJobSpec(model::WriteJobSpec(parsed.value));
    Require(again.Ok() && again.value == parsed.value);
    Require(!model::CheckJob(parsed.value, {}).empty());
  }
}

void
TryTransfer(std::string_view aText)
{
  auto read = model::ReadPlannedDocument(aText);
  if (read.Ok()) {
    Require(
      model::ReadPlannedDocument(model::WritePlannedDocument(read.Value()))
        .Ok());
  }
  (void)model::ApplyDelta({}, aText);
}

// The check must refuse exactly what the parser refuses, and each finding must
// lie within the text.
void
TryCheck(std::string_view aText)
{
  static const auto sInForce = model::ParseDocument(
    R"({"zones":["a"],"racks":[{"id":"r","zone":"a","workers":4,
      "acceleratorsPerWorker":8,"coresPerWorker":8,"memoryMbPerWorker":1}],
      "workspaces":[{"id":"w","guarantees":[{"shape":{"accelerators":4,
      "closeness":"rack"},"count":2}],
      "quota":{"accelerators":8,"jobs":8,"requests":8}}],
      "services":[{"id":"s"}]})");
  static const std::set<limpetwood::ServiceId> sAnnounced;
  Require(sInForce.Ok());
  auto outcome = model::CheckDocument({ aText, &sInForce.value, &sAnnounced });
  auto parsed = model::ParseDocument(aText);
  if (parsed.Ok()) {
    parsed = model::ParseDocument(aText, &sInForce.value.plan);
  }
  Require(outcome.Count(model::Severity::kError) == parsed.faults.size());
  Require(outcome.result.has_value() == parsed.Ok());
  size_t lines =
    1 + static_cast<size_t>(std::count(aText.begin(), aText.end(), '\n'));
  for (const model::Finding& it : outcome.findings) {
    Require(it.line >= 1 && it.line <= lines);
    Require(it.column >= 1 && it.column <= aText.size() + 1);
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  std::string_view text(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  switch (aData[0]) {
    case 'd':
      TryDocument(text);
      break;
    case 'c':
      TryCheck(text);
      break;
    case 's':
      TrySettings(text);
      break;
    case 'j':
      TryJob(text);
      break;
    default:
      TryTransfer(text);
      break;
  }
  return 0;
}
