// The configuration document that operators submit.
//
// One document describes the declared capacity, the workspaces with their
// guarantees and quotas, the policy weights and the services. It is accepted or
// rejected as a whole; see `model/validate.h`.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetwood::model {

// The topology level within which all accelerators of a shape, or all members
// of a gang, must be placed. The settings and messages call it `closeness`.
enum class TopologyScope
{
  kWorker,
  kRack,
  kZone,
};

// "worker", "rack" or "zone".
const char*
TopologyScopeName(TopologyScope aScope);

std::optional<TopologyScope>
ParseTopologyScope(std::string_view aName);

// A number of accelerators within one worker, rack or zone.
struct Shape
{
  Accelerators accelerators;
  TopologyScope topologyScope = TopologyScope::kWorker;

  auto operator<=>(const Shape&) const = default;
};

// Capacity reserved for a workspace: it may reclaim `count` shapes at any time.
struct Guarantee
{
  Shape shape;
  uint32_t count = 1;
  // Zone of all `count` shapes. If absent, the plan chooses a zone for each.
  std::optional<ZoneId> zone;

  bool operator==(const Guarantee&) const = default;
};

// Upper bounds for one workspace.
struct Quota
{
  // Accelerators in use at the same time, including guaranteed ones.
  Accelerators accelerators;
  // Jobs that are queued or running at the same time.
  uint32_t jobs = 0;
  // Requests to backend servers in progress at the same time.
  uint32_t requests = 0;

  bool operator==(const Quota&) const = default;
};

struct Workspace
{
  WorkspaceId id;
  std::vector<Guarantee> guarantees;
  Quota quota;
  // Relative weight in the distribution of capacity and requests beyond the
  // guarantees.
  double share = 1.0;

  bool operator==(const Workspace&) const = default;
};

// Declared capacity of one rack. All of its workers have the same resources.
struct Rack
{
  RackId id;
  ZoneId zone;
  uint32_t workers = 0;
  Accelerators acceleratorsPerWorker;
  uint32_t coresPerWorker = 0;
  uint64_t memoryMbPerWorker = 0;

  bool operator==(const Rack&) const = default;
};

// Relative weights of the scheduler's two objectives; they need not add up
// to 1.
struct PolicyWeights
{
  double completionTime = 0.5;
  double fragmentation = 0.5;

  bool operator==(const PolicyWeights&) const = default;
};

// A service provided by backend servers that announce themselves.
struct Service
{
  ServiceId id;
  // Time limit of one attempt; never exceeds the time to the deadline.
  Millis attemptTimeout = Seconds(30);
  // Deadline of a request when the caller gives none.
  Millis defaultDeadline = Seconds(60);
  uint64_t maxRequestBytes = 16U << 20U;
  uint64_t maxResponseBytes = 64U << 20U;
  // Maximum number of requests that wait for a slot on one instance.
  uint32_t queueLimit = 1000;

  bool operator==(const Service&) const = default;
};

struct Document
{
  std::vector<ZoneId> zones;
  std::vector<Rack> racks;
  std::vector<Workspace> workspaces;
  std::vector<Service> services;
  PolicyWeights policy;

  bool operator==(const Document&) const = default;
};

// The zone that provides one guaranteed shape. The zone is part of the accepted
// configuration; the scheduler chooses the workers within the zone.
struct PinnedShape
{
  WorkspaceId workspace;
  Shape shape;
  ZoneId zone;

  bool operator==(const PinnedShape&) const = default;
};

// The zones of all guarantees, with one entry for each guaranteed shape.
struct GuaranteePlan
{
  std::vector<PinnedShape> shapes;

  bool operator==(const GuaranteePlan&) const = default;
};

} // namespace limpetwood::model
