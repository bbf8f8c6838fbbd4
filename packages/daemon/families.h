// Builds the metric families of the control group, the instance core and the
// peer transport from their counters.

#pragma once

#include "control/control_group.h"
#include "daemon/instance_core.h"
#include "daemon/metrics.h"
#include "peer/transport.h"

namespace limpetwood::daemon {

Families
ControlGroupFamilies(const control::ControlGroup& aGroup);

Families
InstanceFamilies(const InstanceCore& aCore, Millis aNow);

Families
TransportFamilies(const peer::TransportCounters& aCounters);

} // namespace limpetwood::daemon
