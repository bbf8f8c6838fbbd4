// Services that the hosting process provides to the instance core and the zone
// authority. Implemented by `InstanceActor`.

#pragma once

#include "base/ids.h"
#include "base/log_event.h"
#include "base/verdict.h"
#include "control/codec.h"
#include "membership/configuration_holder.h"
#include "model/validate.h"

#include <functional>
#include <set>
#include <string>
#include <system_error>

namespace limpetwood::daemon {

// Outcome of an HTTP call to a worker. Status and body are meaningful if the
// verdict is `kAnswered`.
struct WorkerAnswer
{
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string body;
};

class InstanceEnvironment
{
public:
  virtual ~InstanceEnvironment() = default;

  virtual void SendControl(const InstanceId& aTo,
                           const control::gen::ControlMessage& aMessage) = 0;

  // Sends a POST request with a JSON body to a worker. `aDone` runs in the
  // actor that made the call.
  virtual void CallWorker(const std::string& aAddress,
                          const std::string& aPath,
                          std::string aBody,
                          std::function<void(WorkerAnswer)> aDone) = 0;

  // Stores a configuration durably. Returns after it is synced to disk, or the
  // error, after which the previous configuration may still be the stored one.
  // Requires a data folder.
  virtual std::error_code Persist(
    const membership::VersionedConfiguration& aConfiguration) = 0;

  // Called when a configuration comes into force on this instance.
  virtual void OnConfigurationInForce(
    const membership::VersionedConfiguration& aConfiguration,
    const model::PlannedDocument& aPlanned) = 0;

  // Called when the set of evacuated zones changes. `aIndex` is the log index
  // of the change.
  virtual void OnEvacuatedZones(uint64_t aIndex,
                                const std::set<ZoneId>& aZones) = 0;

  // Starts the drain of the process that an operator has requested. Calls
  // `InstanceCore::StartDrain` in turn.
  virtual void RequestDrain() = 0;

  // Writes one log line for a change of state.
  virtual void Log(const LogEvent& aEvent) = 0;
};

} // namespace limpetwood::daemon
