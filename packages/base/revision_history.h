// Remembers when a process learned each of the latest revisions of something.
//
//   history.Note(now, revision);
//   uint64_t known = history.At(arrivedAfter);
//
// A request that arrived after a time was sent with later knowledge than that
// of the revision that was known at that time, or with the same.

#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace limpetwood {

class RevisionHistory
{
public:
  // The revision became known at `aNow`, or was known already. Neither of the
  // two decreases from call to call.
  void Note(Millis aNow, uint64_t aRevision)
  {
    if (aRevision == Latest()) {
      return;
    }
    mRevisions.emplace_back(aNow, aRevision);
    if (mRevisions.size() > kMaxRevisions) {
      mRevisions.pop_front();
    }
  }

  // The latest revision; 0 if there is none.
  uint64_t Latest() const
  {
    return mRevisions.empty() ? 0 : mRevisions.back().second;
  }

  // A revision that was known at `aTime`: the latest one, or 0 if it is not
  // remembered.
  uint64_t At(Millis aTime) const
  {
    uint64_t out = 0;
    for (const auto& [knownSince, revision] : mRevisions) {
      // Within one millisecond the order is not known.
      if (knownSince >= aTime) {
        break;
      }
      out = revision;
    }
    return out;
  }

private:
  static constexpr size_t kMaxRevisions = 64;

  // Each revision with the time since which it is known, the earliest first.
  std::deque<std::pair<Millis, uint64_t>> mRevisions;
};

} // namespace limpetwood
