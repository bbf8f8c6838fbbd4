// Conversion between the configuration document and JSON.

#pragma once

#include "model/document.h"
#include "model/internal/json_text.h"

namespace limpetwood::model::internal {

// Text of the `expected` field of faults in the key `closeness`.
extern const char* const kTopologyScopeExpected;

// Reads all fields and validates each one on its own. `document_rules.h` checks
// the rules between fields.
Document
ReadDocument(const Json& aRoot, FaultList& aFaults);

// Writes all fields, including those that have default values.
Json
DocumentToJson(const Document& aDocument);

} // namespace limpetwood::model::internal
