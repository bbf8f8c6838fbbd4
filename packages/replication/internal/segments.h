// Reads log segments and distinguishes torn writes from damage.

#pragma once

#include "replication/message.h"

#include <map>
#include <string>
#include <vector>

namespace limpetwood::replication::internal {

struct SegmentFile
{
  uint64_t sequence = 0;
  std::string bytes;
};

struct SegmentInfo
{
  // Highest index of any record; 0 without records.
  uint64_t maxIndex = 0;
  // Size of the valid part of the file.
  uint64_t bytes = 0;
};

struct SegmentScan
{
  // The log, without entries that later records replaced.
  std::vector<Entry> entries;
  // The segments that belong to the log, by sequence number.
  std::map<uint64_t, SegmentInfo> segments;
  // Sequence number of the segment to start next. Existing files from this
  // number on do not belong to the log.
  uint64_t nextSequence = 1;
  // A record is missing or invalid other than by a torn write at the very end.
  bool damaged = false;
};

// Encodes the first record of a segment, which states how many bytes of the
// previous segment are valid.
std::string
EncodeSegmentHeader(uint64_t aSequence, uint64_t aPreviousBytes);

// `aFiles` is in ascending order of sequence numbers. The files may contain any
// bytes.
SegmentScan
ScanSegments(const std::vector<SegmentFile>& aFiles);

} // namespace limpetwood::replication::internal
