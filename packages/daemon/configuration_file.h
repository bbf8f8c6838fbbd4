// Keeps the configuration in force on the instance's disk.

#pragma once

#include "base/result.h"
#include "membership/configuration_holder.h"

#include <optional>
#include <string>

namespace limpetwood::daemon {

// Replaces the stored configuration atomically. Returns after file and folder
// are synced; after an error the earlier one is still stored.
std::error_code
StoreConfiguration(const std::string& aFolder,
                   const membership::VersionedConfiguration& aConfiguration);

// Empty if none was stored; `Errc::kCorrupt` if the stored one is damaged.
Result<std::optional<membership::VersionedConfiguration>>
LoadConfiguration(const std::string& aFolder);

} // namespace limpetwood::daemon
