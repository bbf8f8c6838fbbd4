// Parsing and validation of configuration documents and job specifications.
//
// All faults of an input are reported together. Unknown keys are faults.
//
//   Parsed<Document> parsed = ParseDocument(text);
//   if (!parsed.faults.empty()) { Reject(parsed.faults); }

#pragma once

#include "model/document.h"
#include "model/fault.h"
#include "model/job.h"

#include <string>
#include <string_view>

namespace limpetwood::model {

// Result of parsing. `value` is to be used only if `faults` is empty. With
// faults it serves for further diagnostics: items of arrays keep their indexes,
// and a field is as in the text unless a fault has the path of the field or of
// something around it.
template<typename T>
struct Parsed
{
  T value;
  Faults faults;

  bool Ok() const { return faults.empty(); }
};

// A configuration document and the plan that assigns its guaranteed shapes to
// zones.
struct PlannedDocument
{
  Document document;
  GuaranteePlan plan;

  bool operator==(const PlannedDocument&) const = default;
};

// Parses JSON with comments, checks every field and rule, and assigns each
// guaranteed shape to a zone. Guarantees that the declared racks cannot provide
// at the same time are faults. Shapes keep the zones of `aPrevious`, the plan
// currently in force, where the new document allows it. Deterministic: equal
// text and equal `aPrevious` give the same plan on every instance.
Parsed<PlannedDocument>
ParseDocument(std::string_view aText, const GuaranteePlan* aPrevious = nullptr);

// Canonical JSON: sorted keys, no comments, no insignificant whitespace,
// numbers in their shortest form. Parsing it gives an equal document.
std::string
WriteDocument(const Document& aDocument);

// Parses and validates the JSON body of a job submission.
Parsed<JobSpec>
ParseJobSpec(std::string_view aText);

// Canonical JSON of a job specification.
std::string
WriteJobSpec(const JobSpec& aSpec);

// Checks a job against the accepted configuration. Faults are an unknown
// workspace, a gang that does not fit into the declared workers, and a quota
// that can never admit the job.
Faults
CheckJob(const JobSpec& aSpec, const Document& aDocument);

} // namespace limpetwood::model
