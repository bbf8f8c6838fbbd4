// Position-aware scan of JSON texts.

#include "model/internal/text_position.h"

#include "model/internal/json_text.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>

namespace limpetwood::model::internal {

namespace {

constexpr size_t kNone = std::string_view::npos;

// The reference tokens of all wanted pointers, as a tree, so that the scan can
// skip values that no pointer refers to.
class PointerTree
{
public:
  PointerTree() { mNodes.emplace_back(); }

  static constexpr size_t kRoot = 0;

  size_t Add(std::string_view aPath)
  {
    size_t node = kRoot;
    for (size_t at = 0; at < aPath.size();) {
      // Each token follows a slash.
      size_t end = std::min(aPath.find('/', at + 1), aPath.size());
      node = AddChild(node, aPath.substr(at + 1, end - at - 1));
      at = end;
    }
    return node;
  }

  size_t Child(size_t aNode, std::string_view aToken) const
  {
    if (aNode == kNone) {
      return kNone;
    }
    auto found = mNodes[aNode].children.find(aToken);
    return found == mNodes[aNode].children.end() ? kNone : found->second;
  }

  void SetOffset(size_t aNode, size_t aOffset)
  {
    if (aNode != kNone) {
      mNodes[aNode].offset = aOffset;
    }
  }

  // Offset of the value of a node or of the innermost value around it. A value
  // that starts before the value around it belongs to an earlier duplicate of a
  // key, which `ParseText` replaces.
  size_t Resolve(size_t aNode) const
  {
    std::vector<size_t> chain;
    for (size_t node = aNode; node != kRoot; node = mNodes[node].parent) {
      chain.push_back(node);
    }
    size_t offset = mNodes[kRoot].offset;
    if (offset == kNone) {
      return 0;
    }
    for (size_t n = chain.size(); n-- > 0;) {
      size_t inner = mNodes[chain[n]].offset;
      if (inner == kNone || inner <= offset) {
        break;
      }
      offset = inner;
    }
    return offset;
  }

private:
  struct Node
  {
    std::map<std::string, size_t, std::less<>> children;
    size_t parent = kRoot;
    size_t offset = kNone;
  };

  size_t AddChild(size_t aNode, std::string_view aToken)
  {
    size_t child = Child(aNode, aToken);
    if (child == kNone) {
      child = mNodes.size();
      mNodes.emplace_back();
      mNodes.back().parent = aNode;
      mNodes[aNode].children.emplace(aToken, child);
    }
    return child;
  }

  std::vector<Node> mNodes;
};

// Reads tokens only. Whether they form a valid document is decided by
// `ParseText`.
class OffsetScan
{
public:
  OffsetScan(std::string_view aText, size_t aMaxDepth, PointerTree& aTree)
    : mText(aText)
    , mMaxDepth(aMaxDepth)
    , mTree(aTree)
  {
  }

  void Run()
  {
    // The parser skips a byte order mark.
    mAt = mText.starts_with("\xef\xbb\xbf") ? 3 : 0;
    while (SkipSpaceAndComments() && ReadToken()) {
    }
  }

private:
  struct Frame
  {
    bool isArray;
    size_t node;
    // Index of the current item of an array.
    size_t index;
    // Whether the next string is a key of an object.
    bool expectsKey;
    // Node of the value that follows.
    size_t valueNode;
  };

  static bool IsSpace(char aChar)
  {
    return aChar == ' ' || aChar == '\t' || aChar == '\n' || aChar == '\r';
  }

  // Returns false at the end of the text.
  bool SkipSpaceAndComments()
  {
    while (mAt < mText.size()) {
      std::string_view rest = mText.substr(mAt);
      if (IsSpace(rest[0])) {
        ++mAt;
      } else if (rest.starts_with("//")) {
        mAt = std::min(mText.find('\n', mAt), mText.size());
      } else if (rest.starts_with("/*")) {
        size_t end = mText.find("*/", mAt + 2);
        mAt = end == kNone ? mText.size() : end + 2;
      } else {
        return true;
      }
    }
    return false;
  }

  // Returns false if the scan is to stop.
  bool ReadToken()
  {
    switch (mText[mAt]) {
      case '{':
      case '[':
        return Open(mText[mAt] == '[');
      case '}':
      case ']':
        if (mFrames.empty()) {
          return false;
        }
        mFrames.pop_back();
        ++mAt;
        return !mFrames.empty();
      case ',':
        if (mFrames.empty()) {
          return false;
        }
        NextItem(mFrames.back());
        ++mAt;
        return true;
      case ':':
        ++mAt;
        return true;
      case '"':
        return ReadString();
      default:
        MarkValue();
        ReadScalar();
        return !mFrames.empty();
    }
  }

  // Records the start of a value and returns its node.
  size_t MarkValue()
  {
    size_t node = PointerTree::kRoot;
    if (!mFrames.empty()) {
      node = mFrames.back().valueNode;
    }
    mTree.SetOffset(node, mAt);
    return node;
  }

  bool Open(bool aIsArray)
  {
    size_t node = MarkValue();
    if (mFrames.size() >= mMaxDepth) {
      return false;
    }
    mFrames.push_back({ aIsArray, node, 0, !aIsArray, kNone });
    if (aIsArray) {
      mFrames.back().valueNode = mTree.Child(node, "0");
    }
    ++mAt;
    return true;
  }

  void NextItem(Frame& aFrame)
  {
    if (aFrame.isArray) {
      ++aFrame.index;
      aFrame.valueNode =
        aFrame.node == kNone
          ? kNone
          : mTree.Child(aFrame.node, std::to_string(aFrame.index));
    } else {
      aFrame.expectsKey = true;
      aFrame.valueNode = kNone;
    }
  }

  bool ReadString()
  {
    size_t end = mAt + 1;
    while (end < mText.size() && mText[end] != '"') {
      end += mText[end] == '\\' ? 2 : 1;
    }
    if (end >= mText.size()) {
      return false;
    }
    if (!mFrames.empty() && mFrames.back().expectsKey) {
      Frame& top = mFrames.back();
      top.expectsKey = false;
      top.valueNode =
        top.node == kNone
          ? kNone
          : mTree.Child(top.node, TokenOf(mText.substr(mAt, end + 1 - mAt)));
    } else {
      MarkValue();
    }
    mAt = end + 1;
    return !mFrames.empty();
  }

  // The reference token that `AppendToPointer` makes of a key, which is given
  // as it stands in the text, with its quotes.
  static std::string TokenOf(std::string_view aLiteral)
  {
    if (aLiteral.find('\\') == kNone) {
      return AppendToPointer("", aLiteral.substr(1, aLiteral.size() - 2))
        .substr(1);
    }
    Json key = Json::parse(aLiteral, nullptr, /*allow_exceptions=*/false);
    const auto* text = key.get_ptr<const std::string*>();
    return text ? AppendToPointer("", *text).substr(1) : std::string();
  }

  void ReadScalar()
  {
    do {
      ++mAt;
    } while (mAt < mText.size() && !IsSpace(mText[mAt]) &&
             std::string_view(",:[]{}\"/").find(mText[mAt]) == kNone);
  }

  std::string_view mText;
  size_t mMaxDepth;
  PointerTree& mTree;
  size_t mAt = 0;
  std::vector<Frame> mFrames;
};

} // namespace

std::vector<size_t>
FindOffsets(std::string_view aText,
            const std::vector<std::string>& aPaths,
            size_t aMaxDepth)
{
  PointerTree tree;
  std::vector<size_t> nodes;
  nodes.reserve(aPaths.size());
  for (const std::string& it : aPaths) {
    nodes.push_back(tree.Add(it));
  }
  OffsetScan(aText, aMaxDepth, tree).Run();
  std::vector<size_t> offsets;
  offsets.reserve(nodes.size());
  for (size_t it : nodes) {
    offsets.push_back(tree.Resolve(it));
  }
  return offsets;
}

std::vector<TextPosition>
PositionsOf(std::string_view aText, const std::vector<size_t>& aOffsets)
{
  std::vector<size_t> order(aOffsets.size());
  std::iota(order.begin(), order.end(), size_t(0));
  std::sort(order.begin(), order.end(), [&](size_t x, size_t y) {
    return aOffsets[x] < aOffsets[y];
  });
  std::vector<TextPosition> positions(aOffsets.size());
  TextPosition current;
  size_t at = 0;
  for (size_t it : order) {
    size_t offset = std::min(aOffsets[it], aText.size());
    for (; at < offset; ++at) {
      if (aText[at] == '\n') {
        ++current.line;
        current.column = 1;
      } else if ((static_cast<unsigned char>(aText[at]) & 0xc0U) != 0x80U) {
        ++current.column;
      }
    }
    positions[it] = current;
  }
  return positions;
}

} // namespace limpetwood::model::internal
