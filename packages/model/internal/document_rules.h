// Limits of the configuration document and the rules between its fields.

#pragma once

#include "model/document.h"
#include "model/internal/json_text.h"

#include <cstddef>
#include <cstdint>

namespace limpetwood::model::internal {

// The limits are about three times the largest planned deployment, so that
// growth needs no new release, while the memory for a document and the time to
// plan it stay small.
constexpr size_t kMaxZones = 64;
constexpr size_t kMaxRacks = 4096;
constexpr uint64_t kMaxWorkersPerRack = 1024;
constexpr uint64_t kMaxWorkers = 20000;
constexpr uint64_t kMaxAcceleratorsPerWorker = 64;
constexpr uint64_t kMaxCoresPerWorker = 4096;
constexpr uint64_t kMaxMemoryMb = 64U << 20U;
constexpr size_t kMaxWorkspaces = 1024;
constexpr size_t kMaxGuaranteesPerWorkspace = 64;
constexpr uint64_t kMaxShapesPerGuarantee = 4096;
// In all workspaces.
constexpr uint64_t kMaxShapes = 20000;
constexpr size_t kMaxServices = 512;
constexpr uint64_t kMaxAccelerators = kMaxWorkers * kMaxAcceleratorsPerWorker;
constexpr uint64_t kMaxQuotaJobs = 1000000;
constexpr uint64_t kMaxQuotaRequests = 1000000;
// 1 day.
constexpr uint64_t kMaxServiceTimeMs = 86400000;
constexpr uint64_t kMaxBodyBytes = 1U << 30U;

// Maximum members of a gang. The largest planned gangs have 128; the rest is
// headroom.
constexpr uint64_t kMaxMembers = 1024;
// Limits of the job name and payload, in bytes.
constexpr size_t kMaxJobName = 200;
constexpr size_t kMaxPayload = 256U << 10U;
// 30 days.
constexpr uint64_t kMaxRunTimeMs = 2592000000;

// Adds a fault for each broken rule: duplicate ids, undeclared zones, totals,
// quotas below the guarantees, time limits above the deadlines. Rules over
// fields that already have a fault are skipped, to avoid consequential faults.
void
CheckDocumentRules(const Document& aDocument, FaultList& aFaults);

} // namespace limpetwood::model::internal
