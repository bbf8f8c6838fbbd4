// Serialization of accepted configurations: as a whole, or as a delta between
// two versions.
//
// A delta is an RFC 7396 merge patch over a form of the document in which
// racks, workspaces and services are objects keyed by id, so that a change of
// one quota takes a few hundred bytes regardless of the document's size. It
// contains the hashes of the base and of the result. A receiver that has
// another base, or whose result has another hash, requests the whole document
// instead.

#pragma once

#include "base/result.h"
#include "model/validate.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetwood::model {

// Canonical JSON of the document and its plan, for storage and for transfer to
// instances that have no base version.
std::string
WritePlannedDocument(const PlannedDocument& aPlanned);

// The inverse of `WritePlannedDocument`. Rules between fields are not checked
// again, because only accepted documents are written. Fails with
// `Errc::kCorrupt` if the text is not a document with a zone for each
// guaranteed shape.
Result<PlannedDocument>
ReadPlannedDocument(std::string_view aText);

// Hash of the text of `WritePlannedDocument`. Equal on all instances that have
// the same configuration.
uint64_t
ConfigurationHash(const PlannedDocument& aPlanned);

// Formats a hash as sixteen hexadecimal digits, the form used in messages and
// in output.
std::string
FormatHash(uint64_t aHash);

// Encodes the delta that turns `aFrom` into `aTo`.
std::string
EncodeDelta(const PlannedDocument& aFrom, const PlannedDocument& aTo);

// Returns the configuration that `aDelta` makes of `aFrom`. Fails with
// `Errc::kConflict` if the base of the delta is not `aFrom`, and with
// `Errc::kCorrupt` if the delta is malformed or its result has another hash.
Result<PlannedDocument>
ApplyDelta(const PlannedDocument& aFrom, std::string_view aDelta);

} // namespace limpetwood::model
