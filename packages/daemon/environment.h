// What the control part of an instance needs from its process. Implemented by
// the actors of the daemon and by fakes in tests.

#pragma once

#include "base/ids.h"
#include "base/log_event.h"
#include "base/verdict.h"
#include "control/codec.h"
#include "membership/configuration_holder.h"
#include "model/validate.h"

#include <functional>
#include <string>
#include <system_error>

namespace limpetwood::daemon {

struct WorkerAnswer
{
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string body;
};

class Environment
{
public:
  virtual ~Environment() = default;

  virtual void SendControl(const InstanceId& aTo,
                           const control::gen::ControlMessage& aMessage) = 0;

  // Posts JSON to a worker; `aDone` runs on the caller's thread.
  virtual void CallWorker(const std::string& aAddress,
                          const std::string& aPath,
                          std::string aBody,
                          std::function<void(WorkerAnswer)> aDone) = 0;

  // Makes a configuration durable. Returns after it is synced.
  virtual std::error_code Persist(
    const membership::VersionedConfiguration& aConfiguration) = 0;

  // A configuration came into force on this instance.
  virtual void InForce(const membership::VersionedConfiguration& aConfiguration,
                       const model::PlannedDocument& aPlanned) = 0;

  // The operator asks this instance to drain.
  virtual void Drain() = 0;

  // One line for a change of state.
  virtual void Log(const LogEvent& aEvent) = 0;
};

} // namespace limpetwood::daemon
