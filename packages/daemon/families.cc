#include "daemon/families.h"

#include <array>

namespace limpetwood::daemon {

namespace {

constexpr std::array<const char*, peer::kChannels> kChannelNames = {
  "hello",
  "replication",
  "membership",
  "control",
  "routing"
};

double
ToDouble(uint64_t aValue)
{
  return static_cast<double>(aValue);
}

double
ToSeconds(Millis aTime)
{
  return static_cast<double>(aTime.Count()) / 1000.0;
}

void
AddZoneFamilies(Families& aFamilies, const ZoneAuthority& aAuthority)
{
  const ZoneAuthorityCounters& counts = aAuthority.Counters();
  AddGauge(aFamilies,
           "limpetwood_zone_free_accelerators",
           "Free accelerators of the zone.",
           aAuthority.FreeAccelerators());
  AddGauge(aFamilies,
           "limpetwood_zone_queued_accelerators",
           "Accelerators asked for by queued jobs of the zone.",
           aAuthority.QueuedAccelerators());
  AddCounter(aFamilies,
             "limpetwood_worker_renewals_total",
             "Lease renewals of workers.",
             ToDouble(counts.renewals));
  AddCounter(aFamilies,
             "limpetwood_worker_renewals_refused_total",
             "Renewals of workers that must announce themselves again.",
             ToDouble(counts.refusedRenewals));
  AddCounter(aFamilies,
             "limpetwood_worker_calls_total",
             "Calls to workers.",
             ToDouble(counts.workerCalls));
  AddCounter(aFamilies,
             "limpetwood_worker_calls_failed_total",
             "Calls to workers without an answer.",
             ToDouble(counts.workerCallsFailed));
  AddCounter(aFamilies,
             "limpetwood_journal_records_total",
             "Job events committed by the control group.",
             ToDouble(counts.recordsCommitted));
  AddCounter(aFamilies,
             "limpetwood_journal_records_cut_off_total",
             "Job events acted on while the zone was cut off.",
             ToDouble(counts.recordsExecutedWhileCutOff));
  for (size_t n = 0; n < static_cast<size_t>(scheduler::CounterKind::kSize);
       ++n) {
    auto count = static_cast<scheduler::CounterKind>(n);
    AddCounter(aFamilies,
               "limpetwood_scheduler_total",
               "Events of the scheduler by kind.",
               ToDouble(aAuthority.SchedulerCounters().Get(count)),
               { { "kind", scheduler::CounterName(count) } });
  }
  AddGauge(aFamilies,
           "limpetwood_alarms",
           "Active alarms of the zone.",
           ToDouble(aAuthority.Alarms().size()));
}

} // namespace

Families
ControlGroupFamilies(const control::ControlGroup& aGroup)
{
  Families families;
  replication::GroupStatus status = aGroup.Status();
  const control::ControlGroupCounters& counts = aGroup.Counters();
  AddGauge(families,
           "limpetwood_control_leading",
           "1 while this instance is the control leader.",
           aGroup.IsLeading() ? 1 : 0);
  AddGauge(families,
           "limpetwood_control_term",
           "Term of the control group.",
           ToDouble(status.term));
  AddGauge(families,
           "limpetwood_control_commit_index",
           "Highest committed log index.",
           ToDouble(status.commitIndex));
  AddGauge(families,
           "limpetwood_control_snapshot_index",
           "Log index of the last snapshot.",
           ToDouble(status.snapshotIndex));
  AddGauge(families,
           "limpetwood_control_voters",
           "Voters of the control group.",
           ToDouble(status.membership.voters.size()));
  AddGauge(families,
           "limpetwood_control_disk_failed",
           "1 after a disk failure made this replica step down.",
           status.diskError ? 1 : 0);
  AddCounter(families,
             "limpetwood_control_heartbeats_total",
             "Heartbeats received as control leader.",
             ToDouble(counts.heartbeats));
  AddCounter(families,
             "limpetwood_control_not_leader_total",
             "Requests refused because another replica leads.",
             ToDouble(counts.notLeader));
  AddCounter(families,
             "limpetwood_control_proposals_total",
             "Commands received as control leader.",
             ToDouble(counts.proposals));
  AddCounter(families,
             "limpetwood_configurations_sent_total",
             "Configurations sent to instances.",
             ToDouble(counts.configurationsSent));
  AddCounter(families,
             "limpetwood_configuration_deltas_sent_total",
             "Configurations sent as deltas.",
             ToDouble(counts.deltasSent));
  AddGauge(families,
           "limpetwood_configuration_convergence_seconds",
           "From acceptance of the last configuration to its report by the "
           "last live instance.",
           ToSeconds(counts.lastConvergence));
  AddCounter(families,
             "limpetwood_job_assignments_total",
             "Jobs assigned to zones.",
             ToDouble(counts.assignments));
  AddCounter(families,
             "limpetwood_zones_fenced_total",
             "Zones fenced after the end of their autonomy.",
             ToDouble(counts.zonesFenced));
  AddGauge(families,
           "limpetwood_zones_evacuated",
           "Zones that are evacuated.",
           ToDouble(aGroup.State().EvacuatedZones().size()));
  AddCounter(families,
             "limpetwood_zone_orders_total",
             "Orders that evacuated or restored a zone.",
             ToDouble(counts.zonesEvacuated),
             { { "order", "evacuate" } });
  AddCounter(families,
             "limpetwood_zone_orders_total",
             "Orders that evacuated or restored a zone.",
             ToDouble(counts.zonesRestored),
             { { "order", "restore" } });
  AddCounter(families,
             "limpetwood_control_repairs_total",
             "Learners promoted to voters.",
             ToDouble(counts.learnerPromotions));
  return families;
}

Families
InstanceFamilies(const InstanceCore& aCore, Millis aNow)
{
  Families families;
  const InstanceCounters& counts = aCore.Counters();
  AddGauge(families,
           "limpetwood_ready",
           "1 while a configuration is in force and no drain is under way.",
           aCore.Ready() ? 1 : 0);
  AddGauge(families,
           "limpetwood_configuration_version",
           "Version of the configuration in force.",
           ToDouble(aCore.Version().Value()));
  AddGauge(families,
           "limpetwood_leader_contact",
           "1 while a control leader answers.",
           aCore.HasLeaderContact(aNow) ? 1 : 0);
  AddGauge(families,
           "limpetwood_zone_authority",
           "1 while this instance is the authority of its zone.",
           aCore.IsAuthority(aNow) ? 1 : 0);
  AddCounter(families,
             "limpetwood_api_calls_total",
             "Calls of the control API.",
             ToDouble(counts.apiCalls));
  AddCounter(families,
             "limpetwood_api_calls_forwarded_total",
             "Calls of the control API passed on to another instance.",
             ToDouble(counts.callsForwarded));
  for (const auto& [reason, n] : counts.refusals) {
    AddCounter(families,
               "limpetwood_api_refusals_total",
               "Refused calls of the control API by reason.",
               ToDouble(n),
               { { "reason", reason } });
  }
  AddCounter(families,
             "limpetwood_configurations_adopted_total",
             "Configurations that came into force here.",
             ToDouble(counts.configurationsAdopted));
  AddCounter(families,
             "limpetwood_configurations_stale_total",
             "Offered configurations older than the one in force.",
             ToDouble(counts.configurationsStale));
  AddCounter(families,
             "limpetwood_configuration_deltas_refused_total",
             "Deltas that did not fit the configuration in force.",
             ToDouble(counts.deltasRefused));
  AddCounter(families,
             "limpetwood_zone_authority_elections_total",
             "Elections won as authority of the zone.",
             ToDouble(counts.authorityElections));
  if (aCore.Authority() != nullptr) {
    AddZoneFamilies(families, *aCore.Authority());
  }
  return families;
}

Families
TransportFamilies(const peer::TransportCounters& aCounters)
{
  Families families;
  for (size_t n = 0; n < peer::kChannels; ++n) {
    AddCounter(families,
               "limpetwood_peer_sent_bytes_total",
               "Bytes sent to other instances by channel.",
               ToDouble(aCounters.bytesSent[n]),
               { { "channel", kChannelNames[n] } });
  }
  for (size_t n = 0; n < peer::kChannels; ++n) {
    AddCounter(families,
               "limpetwood_peer_received_bytes_total",
               "Bytes received from other instances by channel.",
               ToDouble(aCounters.bytesReceived[n]),
               { { "channel", kChannelNames[n] } });
  }
  AddCounter(families,
             "limpetwood_peer_dropped_total",
             "Messages to other instances that were dropped.",
             ToDouble(aCounters.droppedUnreachable),
             { { "reason", "unreachable" } });
  AddCounter(families,
             "limpetwood_peer_dropped_total",
             "Messages to other instances that were dropped.",
             ToDouble(aCounters.droppedQueueFull),
             { { "reason", "queue_full" } });
  AddCounter(families,
             "limpetwood_peer_connections_lost_total",
             "Connections to other instances that broke.",
             ToDouble(aCounters.connectionsLost));
  AddCounter(families,
             "limpetwood_peer_protocol_errors_total",
             "Connections closed for malformed or foreign bytes.",
             ToDouble(aCounters.protocolErrors));
  return families;
}

} // namespace limpetwood::daemon
