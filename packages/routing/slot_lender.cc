#include "routing/slot_lender.h"

#include <algorithm>

namespace limpetwood::routing {

std::optional<ServerIndex>
SlotLender::ServerOf(const LeaseKey& aKey) const
{
  auto found = mServerByLease.find(aKey);
  if (found == mServerByLease.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
SlotLender::AddWaiting(uint32_t aService, WaitingBorrower aWaiting)
{
  if (aService >= mWaiting.size()) {
    mWaiting.resize(aService + 1);
  }
  std::deque<WaitingBorrower>& queue = mWaiting[aService];
  auto known = std::find_if(queue.begin(), queue.end(), [&](const auto& it) {
    return it.borrower == aWaiting.borrower;
  });
  if (known == queue.end()) {
    queue.push_back(std::move(aWaiting));
  } else {
    *known = std::move(aWaiting);
  }
}

SlotLender::WaitingBorrower*
SlotLender::FirstWaiting(uint32_t aService, Millis aNow)
{
  if (aService >= mWaiting.size()) {
    return nullptr;
  }
  std::deque<WaitingBorrower>& queue = mWaiting[aService];
  while (!queue.empty() &&
         (queue.front().expiresAt <= aNow || queue.front().remaining == 0)) {
    queue.pop_front();
  }
  return queue.empty() ? nullptr : &queue.front();
}

void
SlotLender::OnSlotLent(uint32_t aService)
{
  WaitingBorrower& first = mWaiting[aService].front();
  first.nextLease = first.nextLease.Next();
  --first.remaining;
  MoveFirstToBack(aService);
}

void
SlotLender::MoveFirstToBack(uint32_t aService)
{
  std::deque<WaitingBorrower>& queue = mWaiting[aService];
  if (queue.size() > 1) {
    std::rotate(queue.begin(), queue.begin() + 1, queue.end());
  }
}

} // namespace limpetwood::routing
