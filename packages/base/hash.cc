// Implements `Hash64` with the XXH3 library, so that only this file depends on
// it.

#include "base/hash.h"

#include <xxhash.h>

namespace limpetwood {

uint64_t
Hash64(std::string_view aData, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

} // namespace limpetwood
