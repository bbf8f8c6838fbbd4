// Stores the configuration on the instance's disk and loads it after a restart.

#pragma once

#include "base/result.h"
#include "membership/configuration_holder.h"

#include <optional>
#include <string>

namespace limpetwood::daemon {

// Replaces the stored configuration atomically. Returns after file and folder
// are synced. An error before the file is renamed leaves the previous
// configuration stored.
std::error_code
StoreConfiguration(const std::string& aFolder,
                   const membership::VersionedConfiguration& aConfiguration);

// Returns nullopt if the file is missing or cannot be opened, and
// `Errc::kCorrupt` if it is damaged.
Result<std::optional<membership::VersionedConfiguration>>
LoadConfiguration(const std::string& aFolder);

} // namespace limpetwood::daemon
