// Adoption of configuration versions; see `configuration_holder.h`.

#include "membership/configuration_holder.h"

namespace limpetwood::membership {

OfferResult
ConfigurationHolder::OnOffer(VersionedConfiguration aOffered,
                             bool aLinearizable)
{
  if (aLinearizable) {
    mHasVersionFloor = true;
  }
  if (!mHasVersionFloor) {
    return OfferResult::kNeedsLinearizableRead;
  }
  ConfigVersion known = mPending ? mPending->version : Version();
  if (aOffered.version <= known) {
    return OfferResult::kStale;
  }
  if (mHasDisk) {
    mPending = std::move(aOffered);
    return OfferResult::kPersistFirst;
  }
  mInForce = std::move(aOffered);
  return OfferResult::kAdopted;
}

bool
ConfigurationHolder::OnSynced(ConfigVersion aVersion)
{
  if (!mPending || mPending->version != aVersion) {
    return false;
  }
  mInForce = std::move(mPending);
  mPending.reset();
  return true;
}

} // namespace limpetwood::membership
