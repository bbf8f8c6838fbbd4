// Transfer of accepted configurations: whole, or as the difference between two
// versions.
//
// A delta is an RFC 7396 merge patch over a form of the document in which
// racks, workspaces and services are objects keyed by id, so that a change of
// one quota costs some hundred bytes however large the document is. It carries
// the hashes of both ends; a receiver that holds another base, or computes
// another result, asks for the whole document instead.

#pragma once

#include "base/result.h"
#include "model/validate.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetwood::model {

// Canonical JSON of the document and its plan, for disks and for instances that
// hold no base.
std::string
WritePlannedDocument(const PlannedDocument& aPlanned);

// The inverse of `WritePlanned`. Rules between fields are not checked again,
// since only accepted documents are written. `Errc::kCorrupt` if the text is
// not a document with a pin for each guaranteed shape.
Result<PlannedDocument>
ReadPlannedDocument(std::string_view aText);

// Hash of `WritePlanned`: equal on every instance that holds the same
// configuration.
uint64_t
ConfigurationHash(const PlannedDocument& aPlanned);

// Sixteen hexadecimal digits, as hashes are shown and transferred.
std::string
FormatHash(uint64_t aHash);

std::string
EncodeDelta(const PlannedDocument& aFrom, const PlannedDocument& aTo);

// `Errc::kConflict` if the delta starts from another configuration,
// `Errc::kCorrupt` if it is damaged or its result has another hash.
Result<PlannedDocument>
ApplyDelta(const PlannedDocument& aFrom, std::string_view aDelta);

} // namespace limpetwood::model
