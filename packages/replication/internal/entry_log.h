// The part of the Raft log that is kept in memory.

#pragma once

#include "replication/message.h"

#include <deque>
#include <iterator>
#include <optional>

namespace limpetwood::replication::internal {

// Entries with consecutive indexes after a base entry. Of the base entry only
// the index and term are kept; 0 and 0 before the first entry of a log.
class EntryLog
{
public:
  EntryLog() = default;
  EntryLog(uint64_t aBaseIndex, uint64_t aBaseTerm, std::vector<Entry> aEntries)
    : mBaseIndex(aBaseIndex)
    , mBaseTerm(aBaseTerm)
    , mEntries(std::make_move_iterator(aEntries.begin()),
               std::make_move_iterator(aEntries.end()))
  {
    for (const Entry& it : mEntries) {
      mBytes += it.data.size();
    }
  }

  uint64_t BaseIndex() const { return mBaseIndex; }
  uint64_t LastIndex() const { return mBaseIndex + mEntries.size(); }
  uint64_t LastTerm() const
  {
    return mEntries.empty() ? mBaseTerm : mEntries.back().term;
  }
  // Total size of the entries' commands.
  uint64_t Bytes() const { return mBytes; }

  // The term of the entry at `aIndex`; empty if it is before the base or after
  // the last entry.
  std::optional<uint64_t> TermAt(uint64_t aIndex) const
  {
    if (aIndex == mBaseIndex) {
      return mBaseTerm;
    }
    if (aIndex < mBaseIndex || aIndex > LastIndex()) {
      return std::nullopt;
    }
    return At(aIndex).term;
  }

  // Precondition: `BaseIndex() < aIndex <= LastIndex()`.
  const Entry& At(uint64_t aIndex) const
  {
    return mEntries[aIndex - mBaseIndex - 1];
  }

  // Precondition: the index of `aEntry` is `LastIndex() + 1`.
  void Append(Entry aEntry)
  {
    mBytes += aEntry.data.size();
    mEntries.push_back(std::move(aEntry));
  }

  // Removes all entries after `aIndex`.
  void TruncateAfter(uint64_t aIndex)
  {
    while (LastIndex() > aIndex && !mEntries.empty()) {
      mBytes -= mEntries.back().data.size();
      mEntries.pop_back();
    }
  }

  // Removes all entries up to `aIndex`, which becomes the base. Precondition:
  // `aIndex <= LastIndex()`.
  void CompactTo(uint64_t aIndex)
  {
    while (mBaseIndex < aIndex) {
      mBaseTerm = mEntries.front().term;
      mBytes -= mEntries.front().data.size();
      mEntries.pop_front();
      ++mBaseIndex;
    }
  }

  // The largest index up to `aIndex` whose term is not above `aTerm`, or the
  // base. This is the last index at which two logs that differ at `aIndex` may
  // still match.
  uint64_t LastIndexWithTermAtMost(uint64_t aIndex, uint64_t aTerm) const
  {
    uint64_t index = std::min(aIndex, LastIndex());
    while (index > mBaseIndex && At(index).term > aTerm) {
      --index;
    }
    return index;
  }

private:
  uint64_t mBaseIndex = 0;
  uint64_t mBaseTerm = 0;
  std::deque<Entry> mEntries;
  uint64_t mBytes = 0;
};

} // namespace limpetwood::replication::internal
