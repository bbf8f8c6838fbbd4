#include "routing/codec.h"

#include "base/compact_codec.h"
#include "base/error.h"
#include "routing/gen-cpp/routing_types.h"

namespace limpetwood::routing {

namespace {

// Maximum nesting depth, including unknown fields.
constexpr int kMaxDepth = 16;

// --- Conversion to the wire types ---

template<typename T>
int64_t
Signed(T aValue)
{
  return static_cast<int64_t>(aValue);
}

wire::KeyHolder
ToWire(const KeyHolder& aHolder)
{
  wire::KeyHolder out;
  out.instance = aHolder.instance.Value();
  out.nonce = Signed(aHolder.nonce);
  return out;
}

wire::Server
ToWire(const ServerIdentity& aServer)
{
  wire::Server out;
  out.id = aServer.id.Value();
  out.serviceId = aServer.service.Value();
  out.zone = aServer.zone.Value();
  out.address = aServer.address;
  out.incarnation = Signed(aServer.incarnation.Value());
  return out;
}

wire::LeaseList
ToWire(const std::vector<LeaseId>& aLeases)
{
  wire::LeaseList out;
  for (LeaseId it : aLeases) {
    out.leases.push_back(Signed(it.Value()));
  }
  return out;
}

struct Writer
{
  wire::PeerMessage& out;

  void operator()(const Digest& aFrom) const
  {
    wire::Digest to;
    to.version = Signed(aFrom.version);
    to.delta = aFrom.delta;
    for (const ServiceDigest& it : aFrom.services) {
      wire::ServiceDigest service;
      service.serviceId = it.service.Value();
      service.servers = static_cast<int32_t>(it.servers);
      service.freeSlots = static_cast<int32_t>(it.freeSlots);
      if (it.evacuatedServers > 0) {
        service.__set_evacuatedServers(
          static_cast<int32_t>(it.evacuatedServers));
      }
      to.services.push_back(service);
    }
    for (const WorkspaceUse& it : aFrom.workspaces) {
      wire::WorkspaceUse use;
      use.workspaceHash = static_cast<int32_t>(it.workspaceHash);
      use.requests = static_cast<int32_t>(it.requests);
      to.workspaces.push_back(use);
    }
    if (aFrom.evacuated.index > 0) {
      wire::EvacuatedZones evacuated;
      evacuated.index = Signed(aFrom.evacuated.index);
      for (const ZoneId& it : aFrom.evacuated.zones) {
        evacuated.zones.push_back(it.Value());
      }
      to.__set_evacuated(evacuated);
    }
    out.__set_digest(to);
  }

  void operator()(const HomeClaim& aFrom) const
  {
    wire::HomeClaim to;
    to.server = aFrom.server.Value();
    to.incarnation = Signed(aFrom.incarnation.Value());
    out.__set_homeClaim(to);
  }

  void operator()(const BorrowRequest& aFrom) const
  {
    wire::BorrowRequest to;
    to.first = Signed(aFrom.firstLease.Value());
    to.count = static_cast<int32_t>(aFrom.count);
    to.serviceId = aFrom.service.Value();
    for (const ServerId& it : aFrom.exclude) {
      to.exclude.push_back(it.Value());
    }
    out.__set_borrowRequest(to);
  }

  void operator()(const BorrowReply& aFrom) const
  {
    wire::BorrowReply to;
    to.first = Signed(aFrom.firstLease.Value());
    for (const LeaseGrant& it : aFrom.leases) {
      wire::LeaseGrant lease;
      lease.lease = Signed(it.lease.Value());
      lease.server = ToWire(it.server);
      lease.startWithinMs = it.startWithin.Count();
      lease.connections = static_cast<int32_t>(it.connections);
      to.leases.push_back(lease);
    }
    out.__set_borrowReply(to);
  }

  void operator()(const ReturnLeases& aFrom) const
  {
    wire::ReturnLeases to;
    for (const ReturnedLease& it : aFrom.leases) {
      wire::ReturnedLease lease;
      lease.lease = Signed(it.lease.Value());
      lease.used = it.used;
      lease.result = static_cast<int8_t>(it.result);
      lease.serverError = it.serverError;
      lease.latencyMs = it.latency.Count();
      to.leases.push_back(lease);
    }
    out.__set_returnLeases(to);
  }

  void operator()(const RenewLeases& aFrom) const
  {
    out.__set_renewLeases(ToWire(aFrom.leases));
  }

  void operator()(const RevokeLeases& aFrom) const
  {
    out.__set_revokeLeases(ToWire(aFrom.leases));
  }

  void operator()(const KeyRecord& aFrom) const
  {
    wire::KeyRecord to;
    to.key = aFrom.key.Value();
    to.holder = ToWire(aFrom.holder);
    for (uint64_t it : aFrom.sets) {
      to.sets.push_back(Signed(it));
    }
    out.__set_keyRecord(to);
  }

  void operator()(const KeyReply& aFrom) const
  {
    wire::KeyReply to;
    to.key = aFrom.key.Value();
    to.holder = ToWire(aFrom.holder);
    to.status = static_cast<int8_t>(aFrom.status);
    to.verdict = static_cast<int8_t>(aFrom.verdict);
    out.__set_keyReply(to);
  }

  void operator()(const KeyOutcome& aFrom) const
  {
    wire::KeyOutcome to;
    to.key = aFrom.key.Value();
    to.holder = ToWire(aFrom.holder);
    to.verdict = static_cast<int8_t>(aFrom.verdict);
    out.__set_keyOutcome(to);
  }
};

// --- Conversion from the wire types, with range checks ---

class Reader
{
public:
  bool InRange() const { return mInRange; }

  Digest Read(const wire::Digest& aFrom)
  {
    Digest to;
    to.version = static_cast<uint64_t>(aFrom.version);
    to.delta = aFrom.delta;
    for (const wire::ServiceDigest& it : aFrom.services) {
      to.services.push_back(ServiceDigest{
        ServiceId(it.serviceId),
        Count(it.servers),
        Count(it.freeSlots),
        it.__isset.evacuatedServers ? Count(it.evacuatedServers) : 0 });
    }
    for (const wire::WorkspaceUse& it : aFrom.workspaces) {
      to.workspaces.push_back(WorkspaceUse{
        static_cast<uint32_t>(it.workspaceHash), Count(it.requests) });
    }
    if (aFrom.__isset.evacuated) {
      to.evacuated.index = static_cast<uint64_t>(aFrom.evacuated.index);
      for (const std::string& it : aFrom.evacuated.zones) {
        to.evacuated.zones.emplace(it);
      }
    }
    return to;
  }

  HomeClaim Read(const wire::HomeClaim& aFrom)
  {
    return { ServerId(aFrom.server), Unsigned<Incarnation>(aFrom.incarnation) };
  }

  BorrowRequest Read(const wire::BorrowRequest& aFrom)
  {
    BorrowRequest to;
    to.firstLease = Unsigned<LeaseId>(aFrom.first);
    to.count = Count(aFrom.count);
    to.service = ServiceId(aFrom.serviceId);
    for (const std::string& it : aFrom.exclude) {
      to.exclude.emplace_back(it);
    }
    return to;
  }

  BorrowReply Read(const wire::BorrowReply& aFrom)
  {
    BorrowReply to;
    to.firstLease = Unsigned<LeaseId>(aFrom.first);
    for (const wire::LeaseGrant& it : aFrom.leases) {
      to.leases.push_back(LeaseGrant{ Unsigned<LeaseId>(it.lease),
                                      Identity(it.server),
                                      Duration(it.startWithinMs),
                                      Count(it.connections) });
    }
    return to;
  }

  ReturnLeases Read(const wire::ReturnLeases& aFrom)
  {
    ReturnLeases to;
    for (const wire::ReturnedLease& it : aFrom.leases) {
      ReturnedLease lease;
      lease.lease = Unsigned<LeaseId>(it.lease);
      lease.used = it.used;
      lease.result = Enum(it.result, AttemptResult::kAbandoned);
      lease.serverError = it.serverError;
      lease.latency = Duration(it.latencyMs);
      to.leases.push_back(lease);
    }
    return to;
  }

  std::vector<LeaseId> Read(const wire::LeaseList& aFrom)
  {
    std::vector<LeaseId> to;
    for (int64_t it : aFrom.leases) {
      to.push_back(Unsigned<LeaseId>(it));
    }
    return to;
  }

  KeyRecord Read(const wire::KeyRecord& aFrom)
  {
    KeyRecord to;
    to.key = IdempotencyKey(aFrom.key);
    to.holder = Holder(aFrom.holder);
    for (int64_t it : aFrom.sets) {
      to.sets.push_back(static_cast<uint64_t>(it));
    }
    return to;
  }

  KeyReply Read(const wire::KeyReply& aFrom)
  {
    return { IdempotencyKey(aFrom.key),
             Holder(aFrom.holder),
             Enum(aFrom.status, KeyStatus::kAbstain),
             Enum(aFrom.verdict, Verdict::kMayHaveRun) };
  }

  KeyOutcome Read(const wire::KeyOutcome& aFrom)
  {
    return { IdempotencyKey(aFrom.key),
             Holder(aFrom.holder),
             Enum(aFrom.verdict, Verdict::kMayHaveRun) };
  }

private:
  template<typename T>
  static T Unsigned(int64_t aValue)
  {
    return T(static_cast<uint64_t>(aValue));
  }

  uint32_t Count(int32_t aValue)
  {
    mInRange = mInRange && aValue >= 0;
    return static_cast<uint32_t>(aValue);
  }

  // Rejects negative durations and durations of more than 24 h.
  Millis Duration(int64_t aMillis)
  {
    mInRange = mInRange && aMillis >= 0 && aMillis <= Hours(24).Count();
    return Millis(aMillis);
  }

  template<typename E>
  E Enum(int8_t aValue, E aLast)
  {
    mInRange = mInRange && aValue >= 0 && aValue <= static_cast<int8_t>(aLast);
    return static_cast<E>(aValue);
  }

  static KeyHolder Holder(const wire::KeyHolder& aFrom)
  {
    return { InstanceId(aFrom.instance), static_cast<uint64_t>(aFrom.nonce) };
  }

  static ServerIdentity Identity(const wire::Server& aFrom)
  {
    return { ServerId(aFrom.id),
             ServiceId(aFrom.serviceId),
             ZoneId(aFrom.zone),
             aFrom.address,
             Unsigned<Incarnation>(aFrom.incarnation) };
  }

  bool mInRange = true;
};

// Precondition: exactly one field is set.
PeerMessage
ReadUnion(Reader& aReader, const wire::PeerMessage& aFrom)
{
  if (aFrom.__isset.digest) {
    return aReader.Read(aFrom.digest);
  }
  if (aFrom.__isset.homeClaim) {
    return aReader.Read(aFrom.homeClaim);
  }
  if (aFrom.__isset.borrowRequest) {
    return aReader.Read(aFrom.borrowRequest);
  }
  if (aFrom.__isset.borrowReply) {
    return aReader.Read(aFrom.borrowReply);
  }
  if (aFrom.__isset.returnLeases) {
    return aReader.Read(aFrom.returnLeases);
  }
  if (aFrom.__isset.renewLeases) {
    return RenewLeases{ aReader.Read(aFrom.renewLeases) };
  }
  if (aFrom.__isset.revokeLeases) {
    return RevokeLeases{ aReader.Read(aFrom.revokeLeases) };
  }
  if (aFrom.__isset.keyRecord) {
    return aReader.Read(aFrom.keyRecord);
  }
  if (aFrom.__isset.keyReply) {
    return aReader.Read(aFrom.keyReply);
  }
  return aReader.Read(aFrom.keyOutcome);
}

int
FieldsSet(const wire::PeerMessage& aFrom)
{
  const auto& set = aFrom.__isset;
  return int(set.digest) + int(set.homeClaim) + int(set.borrowRequest) +
         int(set.borrowReply) + int(set.returnLeases) + int(set.renewLeases) +
         int(set.revokeLeases) + int(set.keyRecord) + int(set.keyReply) +
         int(set.keyOutcome);
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  wire::PeerMessage out;
  std::visit(Writer{ out }, aMessage);
  return EncodeCompact(out);
}

Result<PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  auto in =
    DecodeCompact<wire::PeerMessage>(aBytes,
                                     { .maxBytes = kMaxPeerMessageBytes,
                                       .maxStringBytes = kMaxPeerStringBytes,
                                       .maxElements = kMaxPeerListEntries,
                                       .maxDepth = kMaxDepth });
  if (!in) {
    return in.Error();
  }
  if (FieldsSet(in.Value()) != 1) {
    return make_error_code(Errc::kCorrupt);
  }
  Reader reader;
  PeerMessage message = ReadUnion(reader, in.Value());
  if (!reader.InRange()) {
    return make_error_code(Errc::kCorrupt);
  }
  return message;
}

} // namespace limpetwood::routing
