// 64-bit hashes for checksums and rendezvous hashing (xxHash3).

#pragma once

#include <cstdint>
#include <string_view>

namespace limpetwood {

// Stable across platforms and versions, so it may be written to disk.
uint64_t
Hash64(std::string_view aData, uint64_t aSeed = 0);

} // namespace limpetwood
