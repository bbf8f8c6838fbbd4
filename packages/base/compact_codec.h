// Encoding of generated Thrift structures in the compact protocol.
//
//   std::string bytes = EncodeCompact(value);
//   auto decoded = DecodeCompact<gen::Command>(bytes, { .maxBytes = 4096 });
//
// For codec sources only: it brings in Thrift's headers, and whoever includes
// it links Thrift.

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

// What a decoder accepts. It allocates containers before it reads their
// elements, so the limits bound its memory.
struct CompactLimits
{
  size_t maxBytes = 0;
  // Of one text; 0 for `maxBytes`.
  size_t maxStringBytes = 0;
  // Elements of a list or map, far above any message of the design size.
  size_t maxElements = 1'000'000;
  // Structures within structures.
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
  auto most = static_cast<int>(aLimits.maxBytes);
  auto limits = std::make_shared<TConfiguration>(most, most, aLimits.maxDepth);
  size_t longest =
    aLimits.maxStringBytes > 0 ? aLimits.maxStringBytes : aLimits.maxBytes;
  // Each element takes a byte at least.
  size_t elements = std::min(aLimits.maxElements, aBytes.size());
  try {
    // The buffer is only read; Thrift's interface lacks a const variant.
    auto* data =
      reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data())); // NOLINT
    auto buffer =
      std::make_shared<TMemoryBuffer>(data,
                                      static_cast<uint32_t>(aBytes.size()),
                                      TMemoryBuffer::OBSERVE,
                                      limits);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
      buffer, static_cast<int32_t>(longest), static_cast<int32_t>(elements));
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
