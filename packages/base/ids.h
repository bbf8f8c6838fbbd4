// Identifiers and units shared by several packages.

#pragma once

#include "base/strong.h"

#include <cstdint>

namespace limpetwood {

// Identifiers chosen by operators or by the announcing process.
using InstanceId = StrongString<struct InstanceIdTag>;
using ZoneId = StrongString<struct ZoneIdTag>;
using RackId = StrongString<struct RackIdTag>;
using WorkerId = StrongString<struct WorkerIdTag>;
using WorkspaceId = StrongString<struct WorkspaceIdTag>;
using ServiceId = StrongString<struct ServiceIdTag>;
using ServerId = StrongString<struct ServerIdTag>;
using JobId = StrongString<struct JobIdTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

// Increases each time a worker, server or instance with the same id restarts.
using Incarnation = StrongInt<struct IncarnationTag>;

// Version of the accepted configuration document; 0 means that no document has
// been accepted yet.
using ConfigVersion = StrongInt<struct ConfigVersionTag>;

// Counts the starts of one job; the first attempt is 1.
using Attempt = StrongInt<struct AttemptTag, uint32_t>;

// Index of a member within its gang.
using MemberIndex = StrongInt<struct MemberIndexTag, uint32_t>;

// Orders grants of the same resource. The upper 40 bits hold the epoch of the
// zone authority, the lower 24 bits a counter, so that tokens of a later
// authority are always larger.
using FencingToken = StrongInt<struct FencingTokenTag>;

// Epoch of a zone authority.
using Epoch = StrongInt<struct EpochTag>;

constexpr unsigned kFencingCounterBits = 24;

constexpr FencingToken
FirstTokenOf(Epoch aEpoch)
{
  return FencingToken(aEpoch.Value() << kFencingCounterBits);
}

constexpr Epoch
EpochOf(FencingToken aToken)
{
  return Epoch(aToken.Value() >> kFencingCounterBits);
}

// Number of accelerators.
using Accelerators = StrongInt<struct AcceleratorsTag, uint32_t>;

// Number of request slots of a backend server.
using Slots = StrongInt<struct SlotsTag, uint32_t>;

} // namespace limpetwood
