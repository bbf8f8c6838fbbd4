// The control API of an instance. Each call is answered locally, by the control
// leader, or by another instance that the call is forwarded to.

#include "control/state.h"
#include "daemon/instance_core.h"

#include "base/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace limpetwood::daemon {

namespace {

using nlohmann::json;
namespace gen = control::gen;

constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr std::string_view kEvacuatePath = "/v1/zones/evacuate";
constexpr std::string_view kRestorePath = "/v1/zones/restore";
// Limits of the text fields of a zone order and of its idempotency key, in
// bytes. The control state keeps them, so they must be bounded.
constexpr size_t kMaxZoneBytes = 63;
constexpr size_t kMaxOrderTextBytes = 256;
// Longest part of an invalid value that a fault repeats, in bytes.
constexpr size_t kMaxFaultValueBytes = 64;
// Callers certainly wait this long for the answer to an order.
constexpr Millis kCallerPatience(900);
// Reason of a refusal of an order that its caller may have given up.
constexpr const char* kOutdatedReason = "order_may_be_outdated";
// Deadline of calls forwarded to other instances, except for those of workers.
constexpr Millis kForwardedCallDeadline = Seconds(2);
// Deadline of worker calls forwarded to the zone's authority. Shorter than the
// time after which a worker tries another instance, so that the worker gets an
// answer also if the authority is unreachable.
constexpr Millis kForwardedWorkerCallDeadline = Millis(500);

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

ApiAnswer
Ok(const json& aBody)
{
  return { 200, aBody.dump() + "\n" };
}

json
FaultsToJson(const model::Faults& aFaults)
{
  json faults = json::array();
  for (const model::Fault& it : aFaults) {
    faults.push_back({ { "path", it.path },
                       { "value", it.value },
                       { "expected", it.expected } });
  }
  return faults;
}

ApiAnswer
InvalidInput(std::string_view aReason,
             const model::Faults& aFaults,
             int aStatus = 422)
{
  json body = { { "verdict", "not_run" },
                { "reason", aReason },
                { "faults", FaultsToJson(aFaults) } };
  return { aStatus, body.dump() + "\n" };
}

ApiAnswer
ProposeFailed(const ProposeAnswer& aAnswer)
{
  bool notRun = aAnswer.verdict == Verdict::kNotRun;
  json body = { { "verdict", VerdictName(aAnswer.verdict) },
                { "reason", aAnswer.reason } };
  return { notRun ? 503 : 502, body.dump() + "\n" };
}

std::optional<uint64_t>
ParseNumber(std::string_view aText)
{
  uint64_t value = 0;
  auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (ec != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

std::string
StringFieldOfBody(const std::string& aBody, const char* aName)
{
  json body = ParseJson(aBody);
  if (!body.is_object() || !body.contains(aName) || !body[aName].is_string()) {
    return {};
  }
  return body[aName].get<std::string>();
}

// The value as JSON, shortened. Invalid UTF-8 is replaced.
std::string
FaultValue(const json& aValue)
{
  std::string text =
    aValue.dump(-1, ' ', false, json::error_handler_t::replace);
  return text.size() <= kMaxFaultValueBytes
           ? text
           : text.substr(0, kMaxFaultValueBytes) + "...";
}

// Parses the body of a zone order and appends every fault to `aFaults`.
gen::ZoneOrder
ParseZoneOrder(const std::string& aBody, model::Faults& aFaults)
{
  gen::ZoneOrder order;
  json body = ParseJson(aBody);
  if (!body.is_object()) {
    aFaults.push_back(
      { "", "", "a JSON object with the texts \"zone\" and \"by\"" });
    return order;
  }
  auto read = [&](const char* aName, size_t aMaxBytes, std::string& aText) {
    std::string path = std::string("/") + aName;
    std::string expected =
      "a text of 1 to " + std::to_string(aMaxBytes) + " bytes";
    auto it = body.find(aName);
    if (it == body.end()) {
      aFaults.push_back({ path, "", expected });
      return;
    }
    const auto* text = it->get_ptr<const std::string*>();
    if (!text || text->empty() || text->size() > aMaxBytes) {
      aFaults.push_back({ path, FaultValue(*it), expected });
      return;
    }
    aText = *text;
  };
  read("zone", kMaxZoneBytes, order.zone);
  read("by", kMaxOrderTextBytes, order.by);
  for (const auto& [name, value] : body.items()) {
    if (name != "zone" && name != "by") {
      aFaults.push_back({ "/" + name.substr(0, kMaxFaultValueBytes),
                          FaultValue(value),
                          "no other keys than \"zone\" and \"by\"" });
    }
  }
  return order;
}

// Whether the caller may have given up the call, and done something else since.
bool
MayBeOutdated(const ApiCall& aCall, Millis aNow)
{
  return aNow - aCall.arrivedAfter >= kCallerPatience;
}

} // namespace

ApiAnswer
InstanceCore::Refuse(int aStatus, std::string_view aReason)
{
  ++mCounters.refusals[std::string(aReason)];
  json body = { { "verdict", "not_run" }, { "reason", aReason } };
  return { aStatus, body.dump() + "\n" };
}

void
InstanceCore::OnApiCall(ApiCall aCall, Millis aNow, ApiCallback aDone)
{
  ++mCounters.apiCalls;
  std::string path(PathOf(aCall.target));
  const std::string& method = aCall.method;
  if (path == "/v1/workers/announce" || path == "/v1/workers/renew") {
    CallAuthority(aCall, aNow, std::move(aDone));
  } else if (path == "/v1/workers" && method == "GET") {
    ListWorkers(aCall, aNow, std::move(aDone));
  } else if (path == "/v1/configuration" && method == "PUT") {
    SubmitConfiguration(aCall, aNow, std::move(aDone));
  } else if (path == "/v1/configuration/validate" && method == "POST") {
    aDone(ValidateConfiguration(aCall));
  } else if (path == "/v1/jobs" && method == "POST") {
    SubmitJob(aCall, aNow, std::move(aDone));
  } else if (path.starts_with(kJobPrefix) && method == "DELETE") {
    CancelJob(aCall, aNow, std::move(aDone));
  } else if (path == "/v1/zones/fence" && method == "POST") {
    FenceZone(aCall, aNow, std::move(aDone));
  } else if (path == kEvacuatePath || path == kRestorePath) {
    OrderZone(aCall, aNow, std::move(aDone));
  } else if (path == "/v1/instances/drain" && method == "POST") {
    DrainInstance(aCall, aNow, std::move(aDone));
  } else if (method == "GET") {
    ReadFromLeader(aCall, aNow, std::move(aDone));
  } else {
    aDone(Refuse(404, "unknown_target"));
  }
}

void
InstanceCore::ReadFromLeader(const ApiCall& aCall,
                             Millis aNow,
                             ApiCallback aDone)
{
  mLeader.Query(
    aCall.target,
    aNow,
    [this, done = std::move(aDone)](const QueryAnswer& aAnswer) {
      if (aAnswer.verdict != Verdict::kAnswered || aAnswer.body.empty()) {
        done(
          Refuse(503, aAnswer.reason.empty() ? "no_quorum" : aAnswer.reason));
        return;
      }
      done({ aAnswer.status, aAnswer.body });
    });
}

ApiAnswer
InstanceCore::ValidateConfiguration(const ApiCall& aCall)
{
  const model::GuaranteePlan* earlier = mPlanned ? &mPlanned->plan : nullptr;
  auto parsed = model::ParseDocument(aCall.body, earlier);
  if (!parsed.Ok()) {
    ++mCounters.refusals["invalid_document"];
    return InvalidInput("invalid_document", parsed.faults);
  }
  return Ok({ { "valid", true } });
}

void
InstanceCore::SubmitConfiguration(const ApiCall& aCall,
                                  Millis aNow,
                                  ApiCallback aDone)
{
  auto base = ParseNumber(aCall.baseVersion);
  if (!base) {
    aDone(InvalidInput("base_version_required",
                       { { "/headers/Limpetwood-Base-Version",
                           aCall.baseVersion,
                           "the version that the document was based on; 0 for "
                           "the first one" } }));
    return;
  }
  // Rejects invalid documents early. The leader parses the document again, with
  // the accepted plan as the previous one.
  auto parsed = model::ParseDocument(aCall.body, nullptr);
  if (!parsed.Ok()) {
    ++mCounters.refusals["invalid_document"];
    aDone(InvalidInput("invalid_document", parsed.faults));
    return;
  }
  gen::SubmitConfiguration submit;
  submit.document = aCall.body;
  submit.baseVersion = static_cast<int64_t>(*base);
  submit.key = aCall.key;
  submit.acceptedAtMs = WallNow().Count();
  gen::Command command;
  command.__set_submitConfiguration(submit);
  mLeader.Propose(
    control::Encode(command),
    aNow,
    [this, done = std::move(aDone)](const ProposeAnswer& aAnswer) {
      if (aAnswer.verdict != Verdict::kAnswered) {
        ++mCounters.refusals[aAnswer.reason];
        done(ProposeFailed(aAnswer));
        return;
      }
      const gen::CommandResult& result = aAnswer.result;
      if (result.accepted) {
        done(Ok({ { "version", result.version },
                  { "hash", result.hash },
                  { "repeated", result.repeated } }));
        return;
      }
      ++mCounters.refusals[result.reason];
      bool conflict = result.reason == "version_conflict";
      json body = { { "verdict", "not_run" },
                    { "reason", result.reason },
                    { "version", result.version },
                    { "changes", result.changes } };
      done({ conflict ? 409 : 422, body.dump() + "\n" });
    });
}

std::string
InstanceCore::NewJobId()
{
  constexpr std::string_view kDigits = "0123456789abcdefghjkmnpqrstvwxyz";
  std::string id = "j-";
  // The first part makes ids sort by submission time; the random part makes
  // them unique.
  auto time = static_cast<uint64_t>(WallNow().Count());
  for (int shift = 40; shift >= 0; shift -= 5) {
    id.push_back(kDigits[(time >> static_cast<unsigned>(shift)) & 31U]);
  }
  id.push_back('-');
  for (int n = 0; n < 8; ++n) {
    id.push_back(kDigits[mRandom.Below(kDigits.size())]);
  }
  return id;
}

void
InstanceCore::SubmitJob(const ApiCall& aCall, Millis aNow, ApiCallback aDone)
{
  auto spec = model::ParseJobSpec(aCall.body);
  if (!spec.Ok()) {
    ++mCounters.refusals["invalid_job"];
    aDone(InvalidInput("invalid_job", spec.faults));
    return;
  }
  if (mPlanned) {
    model::Faults faults = model::CheckJob(spec.value, mPlanned->document);
    if (!faults.empty()) {
      ++mCounters.refusals["job_not_possible"];
      aDone(InvalidInput("job_not_possible", faults));
      return;
    }
  }
  gen::SubmitJob submit;
  submit.job = NewJobId();
  submit.key = aCall.key;
  submit.spec = model::WriteJobSpec(spec.value);
  submit.submittedAtMs = WallNow().Count();
  gen::Command command;
  command.__set_submitJob(submit);
  mLeader.Propose(
    control::Encode(command),
    aNow,
    [this, done = std::move(aDone)](const ProposeAnswer& aAnswer) {
      if (aAnswer.verdict != Verdict::kAnswered) {
        ++mCounters.refusals[aAnswer.reason];
        done(ProposeFailed(aAnswer));
      } else if (aAnswer.result.accepted) {
        done(Ok({ { "job", aAnswer.result.job },
                  { "state", "queued" },
                  { "repeated", aAnswer.result.repeated } }));
      } else {
        done(Refuse(422, aAnswer.result.reason));
      }
    });
}

void
InstanceCore::CancelJob(const ApiCall& aCall, Millis aNow, ApiCallback aDone)
{
  gen::CancelJobs cancel;
  cancel.jobs.emplace_back(PathOf(aCall.target).substr(kJobPrefix.size()));
  gen::Command command;
  command.__set_cancelJobs(cancel);
  std::string job = cancel.jobs.front();
  mLeader.Propose(
    control::Encode(command),
    aNow,
    [this, job, done = std::move(aDone)](const ProposeAnswer& aAnswer) {
      if (aAnswer.verdict != Verdict::kAnswered) {
        done(ProposeFailed(aAnswer));
      } else if (aAnswer.result.accepted) {
        done(Ok({ { "job", job }, { "cancelling", true } }));
      } else {
        done(Refuse(404, aAnswer.result.reason));
      }
    });
}

void
InstanceCore::FenceZone(const ApiCall& aCall, Millis aNow, ApiCallback aDone)
{
  gen::FenceZone fence;
  fence.zone = StringFieldOfBody(aCall.body, "zone");
  bool known = mPlanned && std::any_of(mPlanned->document.zones.begin(),
                                       mPlanned->document.zones.end(),
                                       [&fence](const ZoneId& it) {
                                         return it.Value() == fence.zone;
                                       });
  if (!known) {
    aDone(Refuse(404, "unknown_zone"));
    return;
  }
  if (MayBeOutdated(aCall, aNow)) {
    // The zone was down when the order was given, and may be up again.
    aDone(Refuse(503, kOutdatedReason));
    return;
  }
  gen::Command command;
  command.__set_fenceZone(fence);
  mLeader.Propose(
    control::Encode(command),
    aNow,
    [this, done = std::move(aDone)](const ProposeAnswer& aAnswer) {
      if (aAnswer.verdict != Verdict::kAnswered) {
        done(ProposeFailed(aAnswer));
      } else if (aAnswer.result.accepted) {
        done(Ok({ { "fenced", true } }));
      } else {
        done(Refuse(503, aAnswer.result.reason));
      }
    });
}

void
InstanceCore::OrderZone(const ApiCall& aCall, Millis aNow, ApiCallback aDone)
{
  if (aCall.method != "POST") {
    aDone(Refuse(405, "wrong_method"));
    return;
  }
  model::Faults faults;
  gen::ZoneOrder order = ParseZoneOrder(aCall.body, faults);
  // Without a key, a copy of the order that arrives late could undo the
  // opposite order, which may have been acknowledged meanwhile.
  if (aCall.key.empty() || aCall.key.size() > kMaxOrderTextBytes) {
    faults.push_back({ "/headers/Limpetwood-Idempotency-Key",
                       aCall.key.substr(0, kMaxFaultValueBytes),
                       "a key of 1 to " + std::to_string(kMaxOrderTextBytes) +
                         " bytes that is the same when the order is sent "
                         "again" });
  }
  if (!faults.empty()) {
    ++mCounters.refusals["invalid_zone_order"];
    aDone(InvalidInput("invalid_zone_order", faults, 400));
    return;
  }
  order.key = aCall.key;
  order.orderedAtMs = WallNow().Count();
  // The key does not help if this is the only copy of the order: it may have
  // waited unread while its caller gave up and gave the opposite order.
  order.__set_knownIndex(
    static_cast<int64_t>(mZoneOrderIndexes.At(aCall.arrivedAfter)));
  bool evacuate = PathOf(aCall.target) == kEvacuatePath;
  ProposeZoneOrder(order, evacuate, aCall.arrivedAfter, aNow, std::move(aDone));
}

void
InstanceCore::ProposeZoneOrder(const gen::ZoneOrder& aOrder,
                               bool aEvacuate,
                               Millis aArrivedAfter,
                               Millis aNow,
                               ApiCallback aDone)
{
  gen::Command command;
  if (aEvacuate) {
    command.__set_evacuateZone(aOrder);
  } else {
    command.__set_restoreZone(aOrder);
  }
  // The control state decides whether the zone is known, because the
  // configuration in force on this instance may be older.
  mLeader.Propose(
    control::Encode(command),
    aNow,
    [this, aOrder, aEvacuate, aArrivedAfter, done = std::move(aDone)](
      const ProposeAnswer& aAnswer) {
      if (aAnswer.verdict != Verdict::kAnswered) {
        ++mCounters.refusals[aAnswer.reason];
        done(ProposeFailed(aAnswer));
        return;
      }
      const gen::CommandResult& result = aAnswer.result;
      if (result.accepted) {
        done(Ok({ { "zone", aOrder.zone },
                  { "evacuated", aEvacuate },
                  { "repeated", result.repeated } }));
        return;
      }
      bool outdated = result.reason == kOutdatedReason;
      Millis now = aAnswer.receivedAt;
      if (outdated && now - aArrivedAfter < kCallerPatience) {
        gen::ZoneOrder again = aOrder;
        again.__set_knownIndex(result.zoneOrderIndex);
        ProposeZoneOrder(again, aEvacuate, aArrivedAfter, now, done);
        return;
      }
      // Any other reason is that of a leader of a version that does not know
      // the command.
      bool unknown = result.reason == "unknown_zone";
      done(Refuse(unknown ? 404 : 503, result.reason));
    });
}

void
InstanceCore::DrainInstance(const ApiCall& aCall,
                            Millis aNow,
                            ApiCallback aDone)
{
  InstanceId target(StringFieldOfBody(aCall.body, "instance"));
  bool declared =
    std::any_of(mSettings.instances.begin(),
                mSettings.instances.end(),
                [&target](const auto& it) { return it.id == target; });
  if (!declared) {
    aDone(Refuse(404, "unknown_instance"));
  } else if (MayBeOutdated(aCall, aNow)) {
    // The instance may have drained and started anew since.
    aDone(Refuse(503, kOutdatedReason));
  } else if (target != mSettings.instance) {
    Forward(target, aCall, aNow, std::move(aDone));
  } else {
    aDone(Ok({ { "instance", target.Value() }, { "draining", true } }));
    mEnvironment.RequestDrain();
  }
}

ApiAnswer
InstanceCore::AnswerAsAuthority(const ApiCall& aCall, Millis aNow)
{
  std::string_view path = PathOf(aCall.target);
  if (path == "/v1/workers/announce") {
    return mAuthority->OnAnnounce(aCall.body, aNow);
  }
  if (path == "/v1/workers/renew") {
    return mAuthority->OnRenew(aCall.body, aNow);
  }
  return mAuthority->ListWorkers(aNow);
}

void
InstanceCore::CallAuthority(const ApiCall& aCall,
                            Millis aNow,
                            ApiCallback aDone)
{
  auto authority = KnownAuthority(aNow);
  if (!authority) {
    aDone(Refuse(503, "no_authority"));
  } else if (*authority == mSettings.instance) {
    aDone(AnswerAsAuthority(aCall, aNow));
    // Tick at once, so that journal records caused by the call are proposed
    // without delay.
    mNextTick = aNow;
  } else {
    Forward(*authority, aCall, aNow, std::move(aDone));
  }
}

struct InstanceCore::WorkerListCollector
{
  json workers = json::array();
  std::vector<std::string> missingZones;
  size_t pendingReplies = 0;
  ApiCallback done;

  void Add(const std::string& aZone, const ApiAnswer& aAnswer)
  {
    json body = ParseJson(aAnswer.body);
    if (aAnswer.status == 200 && body.is_object() && body.contains("workers")) {
      for (json& it : body["workers"]) {
        workers.push_back(std::move(it));
      }
    } else {
      missingZones.push_back(aZone);
    }
    if (--pendingReplies == 0) {
      done(Ok({ { "workers", workers }, { "zonesMissing", missingZones } }));
    }
  }
};

void
InstanceCore::ListWorkers(const ApiCall& aCall, Millis aNow, ApiCallback aDone)
{
  // With `local=1`, only the workers of the receiver's zone are listed.
  if (aCall.target.find("local=1") != std::string::npos) {
    CallAuthority(aCall, aNow, std::move(aDone));
    return;
  }
  // Ask one instance of each zone, which forwards the call to its authority.
  std::map<ZoneId, InstanceId> contacts;
  for (const model::DeclaredInstance& it : mSettings.instances) {
    contacts.try_emplace(it.zone, it.id);
  }
  contacts[mSettings.zone] = mSettings.instance;
  auto collector = std::make_shared<WorkerListCollector>();
  collector->done = std::move(aDone);
  collector->pendingReplies = contacts.size();
  ApiCall local = aCall;
  local.target = "/v1/workers?local=1";
  for (const auto& [zone, instance] : contacts) {
    auto add = [collector, name = zone.Value()](const ApiAnswer& aAnswer) {
      collector->Add(name, aAnswer);
    };
    if (instance == mSettings.instance) {
      CallAuthority(local, aNow, add);
    } else {
      Forward(instance, local, aNow, add);
    }
  }
}

void
InstanceCore::Forward(const InstanceId& aTo,
                      const ApiCall& aCall,
                      Millis aNow,
                      ApiCallback aDone)
{
  ++mCounters.callsForwarded;
  gen::InstanceCall call;
  call.id = ++mLastCallId;
  call.method = aCall.method;
  call.target = aCall.target;
  call.body = aCall.body;
  bool worker =
    aCall.method == "POST" && PathOf(aCall.target).starts_with("/v1/workers/");
  mForwarded[call.id] = { std::move(aDone),
                          aNow + (worker ? kForwardedWorkerCallDeadline
                                         : kForwardedCallDeadline) };
  gen::ControlMessage message;
  message.__set_instanceCall(call);
  mEnvironment.SendControl(aTo, message);
}

void
InstanceCore::OnInstanceCall(const InstanceId& aFrom,
                             const gen::InstanceCall& aCall,
                             Millis aNow)
{
  ApiCall call;
  call.method = aCall.method;
  call.target = aCall.target;
  call.body = aCall.body;
  // Its age was checked by the instance that forwards it.
  call.arrivedAfter = aNow;
  int64_t id = aCall.id;
  auto reply = [this, aFrom, id](const ApiAnswer& aAnswer) {
    gen::InstanceCallReply answer;
    answer.id = id;
    answer.status = aAnswer.status;
    answer.body = aAnswer.body;
    gen::ControlMessage message;
    message.__set_instanceCallReply(answer);
    mEnvironment.SendControl(aFrom, message);
  };
  bool worker = PathOf(aCall.target).starts_with("/v1/workers");
  bool authority = mAuthority && mCandidate.IsAuthority(aNow);
  bool listing = aCall.target == "/v1/workers?local=1";
  if (worker && !authority && !listing) {
    // Refuse instead of forwarding: two instances with outdated views of the
    // authority could forward the call to each other endlessly.
    reply(Refuse(503, "no_authority"));
    return;
  }
  OnApiCall(std::move(call), aNow, reply);
}

} // namespace limpetwood::daemon
