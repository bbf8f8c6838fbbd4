// Queue of the requests of one service that wait for a slot, shared fairly
// among workspaces.
//
// Uses start-time fair queueing: each workspace has a virtual time that
// advances by the cost of a request divided by the share of the workspace, and
// the workspace with the lowest virtual time is served next. Urgent requests
// precede normal ones, but while both classes are waiting, normal requests get
// a fixed share of the turns, so that they do not starve.

#pragma once

#include "base/time.h"
#include "routing/request.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace limpetwood::routing {

// Dense index of a workspace.
using WorkspaceIndex = uint32_t;

class FairQueue
{
public:
  struct Options
  {
    // Maximum number of queued requests.
    uint32_t limit = 1000;
    double normalPriorityShare = 0.2;
    // For tests: serves requests in order of arrival, ignoring workspaces and
    // priorities.
    bool firstInFirstOut = false;
    // For tests: normal requests get no turn while urgent ones are waiting.
    bool urgentAlwaysFirst = false;
  };

  explicit FairQueue(Options aOptions)
    : mOptions(aOptions)
  {
  }

  void SetLimit(uint32_t aLimit) { mOptions.limit = aLimit; }
  void SetShare(WorkspaceIndex aWorkspace, double aShare);

  struct Entry
  {
    RequestId request{};
    WorkspaceIndex workspace = 0;
    Priority priority = Priority::kNormal;
    // Relative to the other entries. The router uses the mean service time in
    // milliseconds.
    double cost = 1;
  };

  // True if a request of this workspace may be added. If the queue is full, a
  // workspace with at least two fewer queued requests may displace the newest
  // request of the workspace with the most, which `aDisplaced` then names; the
  // caller must remove it.
  bool CanAdd(WorkspaceIndex aWorkspace,
              std::optional<RequestId>& aDisplaced) const;

  void Push(const Entry& aEntry);
  // Adds a request that was taken from the queue before: in front of the other
  // requests of its workspace. Refunds the cost that `Pop` charged for it.
  void PushFront(const Entry& aEntry);
  // Removes and returns the next request and charges its workspace.
  std::optional<Entry> Pop();
  // Precondition: the request is in the queue with this workspace and priority.
  void Remove(RequestId aRequest,
              WorkspaceIndex aWorkspace,
              Priority aPriority);

  uint32_t Size() const { return mSize; }
  bool Empty() const { return mSize == 0; }
  uint32_t SizeOf(WorkspaceIndex aWorkspace) const;
  // Estimated number of requests that are served up to and including a new
  // request of this workspace: the workspace's queued requests and the new one,
  // scaled by the shares of the waiting workspaces.
  double RequestsAhead(WorkspaceIndex aWorkspace, Priority aPriority) const;

private:
  struct Flow
  {
    std::deque<Entry> entries{};
    double virtualTime = 0;
  };

  // State of one priority class.
  struct PriorityClass
  {
    std::vector<Flow> flows{};
    // Workspaces with requests in the queue.
    std::vector<WorkspaceIndex> active{};
    double virtualTime = 0;
    uint32_t size = 0;
  };

  PriorityClass& ClassOf(Priority aPriority)
  {
    return mClasses.at(static_cast<std::size_t>(aPriority));
  }
  const PriorityClass& ClassOf(Priority aPriority) const
  {
    return mClasses.at(static_cast<std::size_t>(aPriority));
  }
  double ShareOf(WorkspaceIndex aWorkspace) const;
  static Flow& FlowOf(PriorityClass& aClass, WorkspaceIndex aWorkspace);
  void Activate(PriorityClass& aClass, Flow& aFlow, WorkspaceIndex aWorkspace);
  Priority NextClass();
  std::size_t NextFlow(const PriorityClass& aClass) const;

  Options mOptions;
  std::array<PriorityClass, 2> mClasses;
  std::vector<double> mShares;
  uint32_t mSize = 0;
  // Turns due to the normal class, as a fraction of one turn.
  double mNormalCredit = 0;
  std::deque<Entry> mArrivalOrder;
};

} // namespace limpetwood::routing
