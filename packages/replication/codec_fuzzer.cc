// libFuzzer target for the decoders of messages, records and segments. Guards
// against crashes on arbitrary bytes, and against decoded values that change
// when they are encoded and decoded again. The first byte selects the decoder.

#include "replication/codec.h"
#include "replication/internal/segments.h"

#include <cstdlib>

using namespace limpetwood::replication;

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  std::string_view bytes(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  bool roundTrips = true;
  switch (aData[0] % 5) {
    case 0:
      if (auto it = DecodeMessage(bytes)) {
        auto again = DecodeMessage(EncodeMessage(it.Value()));
        roundTrips = again && again.Value() == it.Value();
      }
      break;
    case 1:
      if (auto it = DecodeEntry(bytes)) {
        EncodeEntry(it.Value());
      }
      break;
    case 2:
      if (auto it = DecodeState(bytes)) {
        auto again = DecodeState(EncodeState(it.Value()));
        roundTrips = again && again.Value() == it.Value();
      }
      break;
    case 3:
      if (auto it = DecodeSnapshotHeader(bytes)) {
        auto again = DecodeSnapshotHeader(EncodeSnapshotHeader(it.Value()));
        roundTrips = again && again.Value() == it.Value();
      }
      break;
    default:
      internal::ScanSegments({ { 1, std::string(bytes) } });
      break;
  }
  if (!roundTrips) {
    std::abort();
  }
  return 0;
}
