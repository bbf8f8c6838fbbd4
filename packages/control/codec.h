// Thrift compact encoding of control commands and messages.
//
//   std::string bytes = Encode(command);
//   Result<gen::Command> decoded = Decode<gen::Command>(bytes);

#pragma once

#include "base/result.h"
#include "control/gen-cpp/control_types.h"
#include "membership/zone_lease.h"
#include "model/crash_history.h"

#include <string>
#include <string_view>

namespace limpetwood::control {

// Largest encoded message that `Decode` accepts. Leaves headroom above the
// largest planned configuration document.
constexpr size_t kMaxMessageBytes = 16U << 20U;

template<typename T>
std::string
Encode(const T& aValue);

// Returns `Errc::kTooLarge` above `kMaxMessageBytes` and `Errc::kCorrupt` if
// the bytes are not one complete encoded value.
template<typename T>
Result<T>
Decode(std::string_view aBytes);

extern template std::string
Encode(const gen::Command&);
extern template std::string
Encode(const gen::CommandResult&);
extern template std::string
Encode(const gen::ControlMessage&);
extern template std::string
Encode(const gen::StateSnapshot&);
extern template Result<gen::Command> Decode(std::string_view);
extern template Result<gen::CommandResult> Decode(std::string_view);
extern template Result<gen::ControlMessage> Decode(std::string_view);
extern template Result<gen::StateSnapshot> Decode(std::string_view);

// Converts the crashes of a job's workers between their model and Thrift types.
gen::WorkerCrash
ToWire(const model::WorkerCrash& aCrash);
gen::CrashHistory
ToWire(const model::CrashHistory& aHistory);
model::WorkerCrash
FromWire(const gen::WorkerCrash& aCrash);
model::CrashHistory
FromWire(const gen::CrashHistory& aHistory);

// Converts lease messages between their membership and Thrift types.
gen::LeaseRequest
ToWire(const membership::LeaseRequest& aRequest);
gen::LeaseReply
ToWire(const membership::LeaseReply& aReply);
membership::LeaseRequest
FromWire(const gen::LeaseRequest& aRequest);
membership::LeaseReply
FromWire(const gen::LeaseReply& aReply);

} // namespace limpetwood::control
