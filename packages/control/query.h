// Answers the read-only calls of the control API on the control leader, as
// JSON.

#pragma once

#include "control/state.h"
#include "membership/instance_table.h"
#include "model/settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::control {

// HTTP status and JSON body.
struct QueryAnswer
{
  int status = 200;
  std::string body;
};

// Data that the answers are rendered from.
struct QuerySources
{
  const ControlState& state;
  const membership::InstanceTable& instances;
  const std::vector<model::DeclaredInstance>& declared;
  InstanceId leader;
  uint64_t term = 0;
  std::vector<InstanceId> voters;
  struct Alarm
  {
    std::string reason;
    std::string detail;
    // Wall-clock time since the Unix epoch.
    Millis since;
  };
  std::vector<Alarm> alarms;
};

// Answers GET /v1/jobs, /v1/jobs/{id}, /v1/configuration,
// /v1/configuration/history, /v1/workspaces, /v1/instances, /v1/zones and
// /v1/alarms. Any other target and an unknown job get status 404, as does
// /v1/configuration before the first configuration was accepted.
QueryAnswer
AnswerQuery(std::string_view aTarget,
            const QuerySources& aSources,
            Millis aNow);

} // namespace limpetwood::control
