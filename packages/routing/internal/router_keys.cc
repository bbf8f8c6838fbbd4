// Recording of idempotency keys at their owners before the first attempt.

#include "routing/internal/router_impl.h"

namespace limpetwood::routing {

void
Router::Impl::StartKeyRecording(RequestId aId,
                                RequestRecord& aRequest,
                                const RequestInfo& aInfo,
                                Millis aNow,
                                Effects& aEffects)
{
  mKeyOwners.Expire(aNow);
  KeyHolder holder{ mSelf, mRandom() };
  aRequest.state = RequestState::kRecordingKey;
  aRequest.key = std::make_unique<KeyRecorder>(
    aInfo.key, holder, mKeyOwners.OwnersOf(aInfo.key, aInfo.keyZone));
  mRequestByKeyNonce[holder.nonce] = aId;
  // The first timer repeats unanswered key records, in case a message was lost;
  // the second one ends the recording.
  mTimers.push(Timer{ aNow + mOptions.keyTimeout / 2, aId });
  mTimers.push(Timer{ aNow + mOptions.keyTimeout, aId });
  aRequest.keyDeadline = aNow + mOptions.keyTimeout;
  SendKeyRecords(aRequest, aNow, aEffects);
  AdvanceKeyRecording(aId, /*aResend=*/false, aNow, aEffects);
}

void
Router::Impl::SendKeyRecords(RequestRecord& aRequest,
                             Millis aNow,
                             Effects& aEffects)
{
  KeyRecorder& key = *aRequest.key;
  KeyRecord message{ key.Key(), key.Holder(), mKeyOwners.SetIds() };
  for (const InstanceId& it : key.AllOwners()) {
    if (key.HasReplied(it)) {
      continue;
    }
    if (it == mSelf) {
      key.OnReply(mSelf, mKeys.Record(message, message.sets, aNow));
    } else {
      aEffects.messages.push_back(SendToPeer{ it, message });
    }
  }
}

void
Router::Impl::OnKeyReply(const InstanceId& aFrom,
                         const KeyReply& aReply,
                         Millis aNow,
                         Effects& aEffects)
{
  auto found = mRequestByKeyNonce.find(aReply.holder.nonce);
  if (found == mRequestByKeyNonce.end()) {
    return;
  }
  RequestId id = found->second;
  RequestRecord& request = mRequests.at(id);
  if (request.state == RequestState::kRecordingKey) {
    request.key->OnReply(aFrom, aReply);
    AdvanceKeyRecording(id, /*aResend=*/false, aNow, aEffects);
  }
}

void
Router::Impl::AdvanceKeyRecording(RequestId aId,
                                  bool aResend,
                                  Millis aNow,
                                  Effects& aEffects)
{
  RequestRecord& request = mRequests.at(aId);
  KeyRecorder::State state = request.key->CurrentState();
  if (state == KeyRecorder::State::kWaiting) {
    if (aNow < request.keyDeadline && aNow < request.deadline) {
      if (aResend) {
        SendKeyRecords(request, aNow, aEffects);
      }
      return;
    }
    state = KeyRecorder::State::kUnknown;
  }
  if (state == KeyRecorder::State::kGranted) {
    ++mCounters.keysRecorded;
    GrantOrEnqueue(aId, request, aNow, aEffects);
    return;
  }
  // The request is not sent, so it releases the records of the key that it has
  // obtained.
  SendKeyOutcome(*request.key, Verdict::kNotRun, aEffects);
  mRequestByKeyNonce.erase(request.key->Holder().nonce);
  bool started = state == KeyRecorder::State::kAlreadyStarted;
  Verdict verdict =
    started ? request.key->ExistingVerdict() : Verdict::kMayHaveRun;
  request.key.reset();
  EndRequest(aId,
             verdict,
             started ? Reason::kAlreadyStarted : Reason::kKeyUnknown,
             aEffects);
}

void
Router::Impl::SendKeyOutcome(const KeyRecorder& aKey,
                             Verdict aVerdict,
                             Effects& aEffects)
{
  KeyOutcome message{ aKey.Key(), aKey.Holder(), aVerdict };
  for (const InstanceId& it : aKey.AllOwners()) {
    if (it == mSelf) {
      mKeys.ApplyOutcome(message);
    } else {
      aEffects.messages.push_back(SendToPeer{ it, message });
    }
  }
}

} // namespace limpetwood::routing
