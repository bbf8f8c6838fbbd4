#include "control/codec.h"

#include "base/compact_codec.h"

namespace limpetwood::control {

template<typename T>
std::string
Encode(const T& aValue)
{
  return EncodeCompact(aValue);
}

template<typename T>
Result<T>
Decode(std::string_view aBytes)
{
  return DecodeCompact<T>(aBytes, { .maxBytes = kMaxMessageBytes });
}

template std::string
Encode(const gen::Command&);
template std::string
Encode(const gen::CommandResult&);
template std::string
Encode(const gen::ControlMessage&);
template std::string
Encode(const gen::StateSnapshot&);
template Result<gen::Command> Decode(std::string_view);
template Result<gen::CommandResult> Decode(std::string_view);
template Result<gen::ControlMessage> Decode(std::string_view);
template Result<gen::StateSnapshot> Decode(std::string_view);

gen::WorkerCrash
ToWire(const model::WorkerCrash& aCrash)
{
  gen::WorkerCrash crash;
  crash.attempt = static_cast<int32_t>(aCrash.attempt.Value());
  crash.member = static_cast<int32_t>(aCrash.member.Value());
  crash.worker = aCrash.worker.Value();
  crash.afterStart = aCrash.afterStart;
  crash.alone = aCrash.alone;
  return crash;
}

gen::CrashHistory
ToWire(const model::CrashHistory& aHistory)
{
  gen::CrashHistory history;
  for (const model::WorkerCrash& it : aHistory.Crashes()) {
    history.crashes.push_back(ToWire(it));
  }
  history.soundAttempt = static_cast<int32_t>(aHistory.SoundAttempt().Value());
  return history;
}

model::WorkerCrash
FromWire(const gen::WorkerCrash& aCrash)
{
  return { Attempt(static_cast<uint32_t>(aCrash.attempt)),
           MemberIndex(static_cast<uint32_t>(aCrash.member)),
           WorkerId(aCrash.worker),
           aCrash.afterStart,
           aCrash.alone };
}

model::CrashHistory
FromWire(const gen::CrashHistory& aHistory)
{
  model::CrashHistory history;
  history.ClearBefore(Attempt(static_cast<uint32_t>(aHistory.soundAttempt)));
  for (const gen::WorkerCrash& it : aHistory.crashes) {
    history.Add(FromWire(it));
  }
  return history;
}

gen::LeaseRequest
ToWire(const membership::LeaseRequest& aRequest)
{
  gen::LeaseRequest request;
  request.zone = aRequest.zone.Value();
  request.candidate = aRequest.candidate.Value();
  request.epoch = static_cast<int64_t>(aRequest.epoch.Value());
  request.round = static_cast<int64_t>(aRequest.round);
  request.contactAgeMs = aRequest.leaderContactAge.Count();
  return request;
}

gen::LeaseReply
ToWire(const membership::LeaseReply& aReply)
{
  gen::LeaseReply reply;
  reply.zone = aReply.zone.Value();
  reply.voter = aReply.voter.Value();
  reply.epoch = static_cast<int64_t>(aReply.epoch.Value());
  reply.round = static_cast<int64_t>(aReply.round);
  reply.granted = aReply.granted;
  reply.highestEpoch = static_cast<int64_t>(aReply.highestEpoch.Value());
  reply.knowsContact = aReply.knowsLeaderContact;
  reply.contactAgeMs = aReply.leaderContactAge.Count();
  return reply;
}

membership::LeaseRequest
FromWire(const gen::LeaseRequest& aRequest)
{
  membership::LeaseRequest request;
  request.zone = ZoneId(aRequest.zone);
  request.candidate = InstanceId(aRequest.candidate);
  request.epoch = Epoch(static_cast<uint64_t>(aRequest.epoch));
  request.round = static_cast<uint64_t>(aRequest.round);
  request.leaderContactAge = Millis(aRequest.contactAgeMs);
  return request;
}

membership::LeaseReply
FromWire(const gen::LeaseReply& aReply)
{
  membership::LeaseReply reply;
  reply.zone = ZoneId(aReply.zone);
  reply.voter = InstanceId(aReply.voter);
  reply.epoch = Epoch(static_cast<uint64_t>(aReply.epoch));
  reply.round = static_cast<uint64_t>(aReply.round);
  reply.granted = aReply.granted;
  reply.highestEpoch = Epoch(static_cast<uint64_t>(aReply.highestEpoch));
  reply.knowsLeaderContact = aReply.knowsContact;
  reply.leaderContactAge = Millis(aReply.contactAgeMs);
  return reply;
}

} // namespace limpetwood::control
