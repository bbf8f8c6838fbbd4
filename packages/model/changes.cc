// Comparison of two configuration documents as JSON, with items matched by id.

#include "model/changes.h"

#include "model/internal/document_json.h"

#include <map>

namespace limpetwood::model {

namespace {

using internal::AppendToPointer;
using internal::DescribeValue;
using internal::Json;

class DocumentComparison
{
public:
  void Compare(const std::string& aPath, const Json& aFrom, const Json& aTo)
  {
    if (aFrom == aTo) {
      return;
    }
    if (aFrom.is_object() && aTo.is_object()) {
      CompareItems(aPath, ByKey(aFrom), ByKey(aTo));
    } else if (IsArrayOfItemsWithIds(aFrom) && IsArrayOfItemsWithIds(aTo)) {
      size_t before = mChanges.size();
      CompareItems(aPath, ById(aFrom), ById(aTo));
      if (mChanges.size() == before) {
        mChanges.push_back({ aPath, "same items", "in another order" });
      }
    } else if (aFrom.is_array() && aTo.is_array() &&
               aFrom.size() == aTo.size()) {
      for (size_t n = 0; n < aFrom.size(); ++n) {
        Compare(AppendToPointer(aPath, n), aFrom[n], aTo[n]);
      }
    } else {
      mChanges.push_back({ aPath, DescribeValue(aFrom), DescribeValue(aTo) });
    }
  }

  std::vector<Change> Take() { return std::move(mChanges); }

private:
  using Items = std::map<std::string, const Json*>;

  static bool IsArrayOfItemsWithIds(const Json& aNode)
  {
    return aNode.is_array() &&
           (aNode.empty() || (aNode[0].is_object() && aNode[0].contains("id")));
  }

  static Items ByKey(const Json& aObject)
  {
    Items items;
    for (auto it = aObject.begin(); it != aObject.end(); ++it) {
      items[it.key()] = &*it;
    }
    return items;
  }

  static Items ById(const Json& aArray)
  {
    Items items;
    for (const Json& it : aArray) {
      items[it["id"].get<std::string>()] = &it;
    }
    return items;
  }

  void CompareItems(const std::string& aPath,
                    const Items& aFrom,
                    const Items& aTo)
  {
    Items all = aFrom;
    all.insert(aTo.begin(), aTo.end());
    for (const auto& [key, unused] : all) {
      auto from = aFrom.find(key);
      auto to = aTo.find(key);
      std::string path = AppendToPointer(aPath, key);
      if (from == aFrom.end()) {
        mChanges.push_back({ path, "absent", DescribeValue(*to->second) });
      } else if (to == aTo.end()) {
        mChanges.push_back({ path, DescribeValue(*from->second), "absent" });
      } else {
        Compare(path, *from->second, *to->second);
      }
    }
  }

  std::vector<Change> mChanges;
};

} // namespace

std::vector<Change>
ChangesBetween(const Document& aFrom, const Document& aTo, size_t aLimit)
{
  DocumentComparison comparison;
  comparison.Compare(
    "", internal::DocumentToJson(aFrom), internal::DocumentToJson(aTo));
  std::vector<Change> changes = comparison.Take();
  if (changes.size() > aLimit) {
    size_t omitted = changes.size() - aLimit;
    changes.resize(aLimit);
    changes.push_back({ "", "", std::to_string(omitted) + " more" });
  }
  return changes;
}

std::vector<std::string>
ChangedPaths(const Document& aFrom, const Document& aTo, size_t aLimit)
{
  std::vector<std::string> paths;
  for (const Change& it : ChangesBetween(aFrom, aTo, aLimit)) {
    paths.push_back(it.path.empty() ? "and " + it.after : it.path);
  }
  return paths;
}

} // namespace limpetwood::model
