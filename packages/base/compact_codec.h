// Encoding of generated Thrift structures in the compact protocol.
//
//   std::string bytes = EncodeCompact(value);
//   Result<gen::Command> decoded = DecodeCompact<gen::Command>(bytes, limit);
//
// For codec sources only: it brings in Thrift's headers, and whoever includes
// it links Thrift.

#pragma once

#include "base/error.h"
#include "base/result.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>
#include <string_view>

namespace limpetwood {

// Elements of a list or map, far above any message of the design size.
constexpr int32_t kMaxEncodedContainer = 1'000'000;

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

// Fails with `Errc::kTooLarge` above `aMaxBytes` and with `Errc::kCorrupt` on
// anything that is not one complete encoding.
template<typename T>
Result<T>
DecodeCompact(std::string_view aBytes, size_t aMaxBytes)
{
  using apache::thrift::TConfiguration;
  using apache::thrift::transport::TMemoryBuffer;
  if (aBytes.size() > aMaxBytes) {
    return make_error_code(Errc::kTooLarge);
  }
  auto limits = std::make_shared<TConfiguration>(static_cast<int>(aMaxBytes),
                                                 static_cast<int>(aMaxBytes));
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
      buffer, static_cast<int32_t>(aMaxBytes), kMaxEncodedContainer);
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
