#include "routing/fair_queue.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// Lower bound of a share: with a share of zero, a workspace would never be
// served.
constexpr double kMinShare = 0.001;

} // namespace

void
FairQueue::SetShare(WorkspaceIndex aWorkspace, double aShare)
{
  if (aWorkspace >= mShares.size()) {
    mShares.resize(aWorkspace + 1, 1.0);
  }
  mShares[aWorkspace] = std::max(aShare, kMinShare);
}

double
FairQueue::ShareOf(WorkspaceIndex aWorkspace) const
{
  return aWorkspace < mShares.size() ? mShares[aWorkspace] : 1.0;
}

FairQueue::Flow&
FairQueue::FlowOf(PriorityClass& aClass, WorkspaceIndex aWorkspace)
{
  if (aWorkspace >= aClass.flows.size()) {
    aClass.flows.resize(aWorkspace + 1);
  }
  return aClass.flows[aWorkspace];
}

uint32_t
FairQueue::SizeOf(WorkspaceIndex aWorkspace) const
{
  std::size_t size = 0;
  for (const PriorityClass& it : mClasses) {
    if (aWorkspace < it.flows.size()) {
      size += it.flows[aWorkspace].entries.size();
    }
  }
  return static_cast<uint32_t>(size);
}

bool
FairQueue::CanAdd(WorkspaceIndex aWorkspace,
                  std::optional<RequestId>& aDisplaced) const
{
  aDisplaced.reset();
  if (mSize < mOptions.limit) {
    return true;
  }
  const Flow* longest = nullptr;
  uint32_t longestSize = 0;
  for (const PriorityClass& it : mClasses) {
    for (WorkspaceIndex n : it.active) {
      uint32_t size = SizeOf(n);
      if (n != aWorkspace && size > longestSize) {
        longestSize = size;
        longest = &it.flows[n];
      }
    }
  }
  if (!longest || longestSize <= SizeOf(aWorkspace) + 1) {
    return false;
  }
  aDisplaced = longest->entries.back().request;
  return true;
}

void
FairQueue::Activate(PriorityClass& aClass,
                    Flow& aFlow,
                    WorkspaceIndex aWorkspace)
{
  if (aFlow.entries.empty()) {
    // A workspace earns no credit while it has no requests in the queue.
    aFlow.virtualTime = std::max(aFlow.virtualTime, aClass.virtualTime);
    aClass.active.push_back(aWorkspace);
  }
}

void
FairQueue::Push(const Entry& aEntry)
{
  PriorityClass& target = ClassOf(aEntry.priority);
  Flow& flow = FlowOf(target, aEntry.workspace);
  Activate(target, flow, aEntry.workspace);
  flow.entries.push_back(aEntry);
  ++target.size;
  ++mSize;
  if (mOptions.firstInFirstOut) {
    mArrivalOrder.push_back(aEntry);
  }
}

void
FairQueue::PushFront(const Entry& aEntry)
{
  PriorityClass& target = ClassOf(aEntry.priority);
  Flow& flow = FlowOf(target, aEntry.workspace);
  Activate(target, flow, aEntry.workspace);
  flow.virtualTime -= aEntry.cost / ShareOf(aEntry.workspace);
  flow.entries.push_front(aEntry);
  ++target.size;
  ++mSize;
  if (mOptions.firstInFirstOut) {
    mArrivalOrder.push_front(aEntry);
  }
}

Priority
FairQueue::NextClass()
{
  if (ClassOf(Priority::kUrgent).size == 0) {
    return Priority::kNormal;
  }
  if (ClassOf(Priority::kNormal).size == 0 || mOptions.urgentAlwaysFirst) {
    return Priority::kUrgent;
  }
  mNormalCredit += mOptions.normalPriorityShare;
  if (mNormalCredit < 1) {
    return Priority::kUrgent;
  }
  mNormalCredit -= 1;
  return Priority::kNormal;
}

std::size_t
FairQueue::NextFlow(const PriorityClass& aClass) const
{
  auto before = [&](WorkspaceIndex x, WorkspaceIndex y) {
    return aClass.flows[x].virtualTime < aClass.flows[y].virtualTime;
  };
  auto least =
    std::min_element(aClass.active.begin(), aClass.active.end(), before);
  return static_cast<std::size_t>(least - aClass.active.begin());
}

std::optional<FairQueue::Entry>
FairQueue::Pop()
{
  if (mSize == 0) {
    return std::nullopt;
  }
  if (mOptions.firstInFirstOut) {
    Entry entry = mArrivalOrder.front();
    Remove(entry.request, entry.workspace, entry.priority);
    return entry;
  }
  PriorityClass& source = ClassOf(NextClass());
  std::size_t place = NextFlow(source);
  WorkspaceIndex workspace = source.active[place];
  Flow& flow = source.flows[workspace];
  Entry entry = flow.entries.front();
  flow.entries.pop_front();
  source.virtualTime = std::max(source.virtualTime, flow.virtualTime);
  flow.virtualTime += entry.cost / ShareOf(workspace);
  if (flow.entries.empty()) {
    source.active[place] = source.active.back();
    source.active.pop_back();
  }
  --source.size;
  --mSize;
  return entry;
}

void
FairQueue::Remove(RequestId aRequest,
                  WorkspaceIndex aWorkspace,
                  Priority aPriority)
{
  PriorityClass& source = ClassOf(aPriority);
  auto is = [&](const Entry& aEntry) { return aEntry.request == aRequest; };
  std::deque<Entry>& entries = source.flows[aWorkspace].entries;
  entries.erase(std::find_if(entries.begin(), entries.end(), is));
  if (entries.empty()) {
    std::erase(source.active, aWorkspace);
  }
  --source.size;
  --mSize;
  if (mOptions.firstInFirstOut) {
    mArrivalOrder.erase(
      std::find_if(mArrivalOrder.begin(), mArrivalOrder.end(), is));
  }
}

double
FairQueue::RequestsAhead(WorkspaceIndex aWorkspace, Priority aPriority) const
{
  const PriorityClass& own = ClassOf(aPriority);
  double shares = ShareOf(aWorkspace);
  bool waits = false;
  for (WorkspaceIndex it : own.active) {
    waits = waits || it == aWorkspace;
    shares += it == aWorkspace ? 0 : ShareOf(it);
  }
  double ahead =
    waits ? static_cast<double>(own.flows[aWorkspace].entries.size()) : 0;
  double scaled = (ahead + 1) * shares / ShareOf(aWorkspace);
  // At most the whole class and the new request itself.
  scaled = std::min(scaled, static_cast<double>(own.size) + 1);
  const PriorityClass& urgent = ClassOf(Priority::kUrgent);
  if (aPriority == Priority::kNormal && urgent.size > 0) {
    double turns = scaled / std::max(mOptions.normalPriorityShare, kMinShare);
    scaled = std::min(turns, scaled + urgent.size);
  }
  return scaled;
}

} // namespace limpetwood::routing
