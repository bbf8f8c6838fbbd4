// Thrift compact encoding of commands, snapshots and relayed requests, and
// conversions between Thrift structures and value types.

#pragma once

#include "base/result.h"
#include "fleet/gen-cpp/fleet_types.h"
#include "fleet/types.h"

#include <string>
#include <string_view>

namespace limpetwood::fleet {

// Upper bound of a snapshot with a full configuration and the number of jobs
// that the system is designed for. `Decode` rejects more bytes.
constexpr size_t kMaxEncodedBytes = 64U << 20U;

template<typename T>
std::string
Encode(const T& aValue);

// Fails with `Errc::kCorrupt` on anything that is not a complete encoding.
template<typename T>
Result<T>
Decode(std::string_view aBytes);

extern template std::string
Encode(const gen::Command&);
extern template std::string
Encode(const gen::StateSnapshot&);
extern template std::string
Encode(const gen::Request&);
extern template std::string
Encode(const gen::Reply&);
extern template Result<gen::Command> Decode(std::string_view);
extern template Result<gen::StateSnapshot> Decode(std::string_view);
extern template Result<gen::Request> Decode(std::string_view);
extern template Result<gen::Reply> Decode(std::string_view);

gen::JobSpec
ToWire(const JobSpec& aSpec);
JobSpec
FromWire(const gen::JobSpec& aSpec);

gen::Configuration
ToWire(const Configuration& aConfiguration);
Configuration
FromWire(const gen::Configuration& aConfiguration);

gen::Limits
ToWire(const RequestLimits& aLimits);
RequestLimits
FromWire(const gen::Limits& aLimits);

gen::WorkerReport
ToWire(const WorkerReport& aReport);
WorkerReport
FromWire(const gen::WorkerReport& aReport);

gen::TaskRef
ToWire(const TaskRef& aTask);
TaskRef
FromWire(const gen::TaskRef& aTask);

} // namespace limpetwood::fleet
