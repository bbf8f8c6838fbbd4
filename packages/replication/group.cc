#include "replication/group.h"

#include "replication/internal/group_impl.h"

namespace limpetwood::replication {

Result<std::unique_ptr<Group>>
Group::Open(GroupOptions aOptions, StateMachine& aMachine, SendFunction aSend)
{
  auto group =
    internal::GroupImpl::Open(std::move(aOptions), aMachine, std::move(aSend));
  if (!group) {
    return group.Error();
  }
  return std::unique_ptr<Group>(std::move(group).Value());
}

} // namespace limpetwood::replication
