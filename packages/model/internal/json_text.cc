// Strict JSON parser with limits, and formatting of faults.

#include "model/internal/json_text.h"

#include <algorithm>
#include <vector>

namespace limpetwood::model::internal {

namespace {

constexpr size_t kMaxDescribedBytes = 60;
constexpr size_t kMaxPointerKeyBytes = 100;

// Parser messages quote raw input, which may not be valid UTF-8 and must not
// reach a JSON response.
std::string
ReplaceNonAscii(std::string aText)
{
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](unsigned char x) { return x < 0x20 || x > 0x7e; },
    '?');
  return aText;
}

// Builds the JSON tree and reports duplicate keys, which the library's own
// builder silently overwrites.
class TreeBuilder : public nlohmann::json_sax<Json>
{
public:
  TreeBuilder(size_t aMaxDepth, FaultList& aFaults)
    : mMaxDepth(aMaxDepth)
    , mFaults(aFaults)
  {
  }

  Json TakeRoot() { return std::move(mRoot); }

  bool null() override { return AddValue(nullptr); } // NOLINT
  bool boolean(bool aValue) override                 // NOLINT
  {
    return AddValue(aValue);
  }
  bool number_integer(number_integer_t aValue) override // NOLINT
  {
    return AddValue(aValue);
  }
  bool number_unsigned(number_unsigned_t aValue) override // NOLINT
  {
    return AddValue(aValue);
  }
  bool number_float(number_float_t aValue, const string_t&) override // NOLINT
  {
    return AddValue(aValue);
  }
  bool string(string_t& aValue) override // NOLINT
  {
    return AddValue(std::move(aValue));
  }
  bool binary(binary_t&) override { return false; } // NOLINT
  bool start_object(size_t) override                // NOLINT
  {
    return OpenContainer(Json::object());
  }
  bool start_array(size_t) override // NOLINT
  {
    return OpenContainer(Json::array());
  }
  bool end_object() override { return CloseContainer(); } // NOLINT
  bool end_array() override { return CloseContainer(); }  // NOLINT

  bool key(string_t& aKey) override // NOLINT
  {
    Frame& top = mFrames.back();
    top.key = std::move(aKey);
    if (top.node->contains(top.key)) {
      mFaults.Add(Path(), "given twice", "each key at most once");
    }
    return true;
  }

  bool parse_error(size_t aPosition, // NOLINT
                   const std::string&,
                   const nlohmann::detail::exception& aError) override
  {
    std::string message = aError.what();
    size_t prefix = message.find("] ");
    if (prefix != std::string::npos) {
      message.erase(0, prefix + 2);
    }
    // Keeps at most 200 bytes of the message of the parser.
    mFaults.Add("",
                "byte " + std::to_string(aPosition),
                "JSON: " + Truncate(ReplaceNonAscii(message), 200));
    return false;
  }

private:
  struct Frame
  {
    Json* node;
    std::string key;
  };

  std::string Path() const
  {
    std::string path;
    for (const Frame& it : mFrames) {
      path = it.node->is_array() ? AppendToPointer(path, it.node->size() - 1)
                                 : AppendToPointer(path, it.key);
    }
    return path;
  }

  // Adds a value to the innermost open container. A nested container is closed
  // before its parent grows again, so the pointers in `mFrames` stay valid.
  Json* Attach(Json aValue)
  {
    if (mFrames.empty()) {
      mRoot = std::move(aValue);
      return &mRoot;
    }
    Frame& top = mFrames.back();
    if (top.node->is_array()) {
      top.node->push_back(std::move(aValue));
      return &top.node->back();
    }
    Json& element = (*top.node)[top.key];
    element = std::move(aValue);
    return &element;
  }

  bool AddValue(Json aValue)
  {
    Attach(std::move(aValue));
    return true;
  }

  bool OpenContainer(Json aContainer)
  {
    if (mFrames.size() >= mMaxDepth) {
      mFaults.Add(Path(),
                  "nested too deeply",
                  "at most " + std::to_string(mMaxDepth) + " levels");
      return false;
    }
    mFrames.push_back({ Attach(std::move(aContainer)), {} });
    return true;
  }

  bool CloseContainer()
  {
    mFrames.pop_back();
    return true;
  }

  size_t mMaxDepth;
  FaultList& mFaults;
  Json mRoot;
  std::vector<Frame> mFrames;
};

} // namespace

void
FaultList::Add(std::string aPath, std::string aValue, std::string aExpected)
{
  if (mFaults.size() >= kMaxFaults) {
    ++mOmitted;
    return;
  }
  mFaults.push_back(
    { std::move(aPath), std::move(aValue), std::move(aExpected) });
}

bool
FaultList::HasFaultUnder(std::string_view aPath) const
{
  return mOmitted > 0 ||
         std::any_of(mFaults.begin(), mFaults.end(), [&](const Fault& aFault) {
           std::string_view path = aFault.path;
           return path.empty() ||
                  (path.starts_with(aPath) &&
                   (path.size() == aPath.size() || path[aPath.size()] == '/'));
         });
}

Faults
FaultList::Take()
{
  if (mOmitted > 0) {
    mFaults.push_back({ "",
                        std::to_string(mOmitted) + " more faults",
                        "not listed; correct the listed ones first" });
  }
  mOmitted = 0;
  return std::move(mFaults);
}

std::string
Truncate(std::string_view aText, size_t aMaxBytes)
{
  if (aText.size() <= aMaxBytes) {
    return std::string(aText);
  }
  size_t cut = aMaxBytes;
  while (cut > 0 && (static_cast<unsigned char>(aText[cut]) & 0xc0U) == 0x80U) {
    --cut;
  }
  return std::string(aText.substr(0, cut)) + "...";
}

std::string
DescribeValue(const Json& aNode)
{
  if (aNode.is_object()) {
    return "object with " + std::to_string(aNode.size()) + " keys";
  }
  if (aNode.is_array()) {
    return "array with " + std::to_string(aNode.size()) + " items";
  }
  if (const auto* text = aNode.get_ptr<const std::string*>()) {
    return Json(Truncate(*text, kMaxDescribedBytes)).dump();
  }
  return aNode.dump();
}

std::string
AppendToPointer(std::string_view aPath, std::string_view aKey)
{
  std::string path(aPath);
  path += '/';
  for (char it : Truncate(aKey, kMaxPointerKeyBytes)) {
    if (it == '~') {
      path += "~0";
    } else if (it == '/') {
      path += "~1";
    } else {
      path += it;
    }
  }
  return path;
}

std::string
AppendToPointer(std::string_view aPath, size_t aIndex)
{
  return std::string(aPath) + "/" + std::to_string(aIndex);
}

std::optional<Json>
ParseText(std::string_view aText, TextLimits aLimits, FaultList& aFaults)
{
  if (aText.size() > aLimits.maxBytes) {
    aFaults.Add("",
                std::to_string(aText.size()) + " bytes",
                "at most " + std::to_string(aLimits.maxBytes) + " bytes");
    return std::nullopt;
  }
  TreeBuilder builder(aLimits.maxDepth, aFaults);
  bool complete = Json::sax_parse(aText.begin(),
                                  aText.end(),
                                  &builder,
                                  nlohmann::detail::input_format_t::json,
                                  /*strict=*/true,
                                  /*ignore_comments=*/true);
  if (!complete) {
    return std::nullopt;
  }
  return builder.TakeRoot();
}

} // namespace limpetwood::model::internal
