// Encoding of generated Thrift structures in the compact protocol.
//
//   std::string bytes = EncodeCompact(value);
//   auto decoded = DecodeCompact<gen::Command>(bytes, { .maxBytes = 4096 });
//
// Include only in codec sources: this header pulls in Thrift's headers, and a
// target that includes it must link Thrift.

#pragma once

#include "base/error.h"
#include "base/result.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>

namespace limpetwood {

// Input limits of a decoder. Thrift allocates containers before it reads their
// elements, so these limits bound the decoder's memory.
struct CompactLimits
{
  // Maximum size of the encoded value. Must be set: 0 rejects every value.
  size_t maxBytes = 0;
  // Maximum size of one string; 0 means `maxBytes`.
  size_t maxStringBytes = 0;
  // Maximum elements of one list or map. Far above the number in the largest
  // valid message.
  size_t maxElements = 1'000'000;
  // Maximum nesting of structures.
  int32_t maxDepth = 16;
};

template<typename T>
std::string
EncodeCompact(const T& aValue)
{
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  aValue.write(&protocol);
  return buffer->getBufferAsString();
}

// Fails with `Errc::kTooLarge` above `maxBytes` and with `Errc::kCorrupt` on
// anything that is not one complete encoding.
template<typename T>
Result<T>
DecodeCompact(std::string_view aBytes, const CompactLimits& aLimits)
{
  using apache::thrift::TConfiguration;
  using apache::thrift::transport::TMemoryBuffer;
  if (aBytes.size() > aLimits.maxBytes) {
    return make_error_code(Errc::kTooLarge);
  }
  auto maxMessageSize = static_cast<int>(aLimits.maxBytes);
  auto limits = std::make_shared<TConfiguration>(
    maxMessageSize, maxMessageSize, aLimits.maxDepth);
  size_t maxString =
    aLimits.maxStringBytes > 0 ? aLimits.maxStringBytes : aLimits.maxBytes;
  // Each element takes at least one byte, so a container cannot have more
  // elements than the input has bytes.
  size_t maxContainer = std::min(aLimits.maxElements, aBytes.size());
  try {
    // OBSERVE mode only reads the buffer, but Thrift's constructor takes a
    // non-const pointer.
    auto* data =
      reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data())); // NOLINT
    auto buffer =
      std::make_shared<TMemoryBuffer>(data,
                                      static_cast<uint32_t>(aBytes.size()),
                                      TMemoryBuffer::OBSERVE,
                                      limits);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
      buffer,
      static_cast<int32_t>(maxString),
      static_cast<int32_t>(maxContainer));
    T value;
    value.read(&protocol);
    if (buffer->available_read() != 0) {
      return make_error_code(Errc::kCorrupt);
    }
    return value;
  } catch (const std::exception&) {
    return make_error_code(Errc::kCorrupt);
  }
}

} // namespace limpetwood
