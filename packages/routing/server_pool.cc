#include "routing/server_pool.h"

namespace limpetwood::routing {

void
ServerPool::SetCandidate(ServerIndex aServer, bool aOwnZone, bool aCandidate)
{
  if (aServer >= mLocations.size()) {
    if (!aCandidate) {
      return;
    }
    mLocations.resize(aServer + 1);
  }
  Location& location = mLocations[aServer];
  uint8_t group = aOwnZone ? 0 : 1;
  uint8_t wanted = aCandidate ? group : kAbsent;
  if (location.group == wanted) {
    return;
  }
  if (location.group != kAbsent) {
    std::vector<ServerIndex>& list = mGroups.at(location.group);
    ServerIndex last = list.back();
    list[location.position] = last;
    mLocations[last].position = location.position;
    list.pop_back();
    location.group = kAbsent;
  }
  if (aCandidate) {
    std::vector<ServerIndex>& list = mGroups.at(group);
    location = Location{ group, static_cast<uint32_t>(list.size()) };
    list.push_back(aServer);
  }
}

} // namespace limpetwood::routing
