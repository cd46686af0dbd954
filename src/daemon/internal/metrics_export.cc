#include "daemon/internal/metrics_export.h"

#include "daemon/internal/metric_names.h"
#include "daemon/internal/metric_set.h"

namespace anvildrum::daemon {
namespace {

using telemetry::Registry;

}  // namespace

auto ExportBalancer(Registry& metrics, const balancer::Balancer& balancer) -> void {
  const auto& counters = balancer.counters;
  SetCounter(metrics, "anvildrum_client_packets_total", "Datagrams from clients",
             counters.client_packets);
  SetCounter(metrics, "anvildrum_replies_total", "Datagrams sent to clients", counters.replies);
  SetLabelled(
      metrics, "anvildrum_routed_total", "Client datagrams by way", "way",
      {{"owner", counters.to_owner}, {"home", counters.to_home}, {"second", counters.to_second}});
  SetLabelled(metrics, "anvildrum_packets_dropped_total", "Client datagrams dropped", "reason",
              {{"unknown_address", counters.unknown_address},
               {"no_target", counters.no_target},
               {"not_ready", counters.not_ready}});
  SetLabelled(metrics, "anvildrum_tunnel_messages_refused_total",
              "Tunnel messages with the right seal that make no sense here", "kind",
              {{"malformed", counters.malformed},
               {"misdirected", counters.misdirected},
               {"wrong_service", counters.wrong_service}});
  SetLabelled(metrics, "anvildrum_packets_refused_total", "Client datagrams that agents refused",
              "reason",
              {{"wrong_service", counters.refused_wrong_service},
               {"full", counters.refused_full},
               {"unknown_flow", counters.refused_unknown_flow},
               {"hop_limit", counters.refused_hop_limit},
               {"draining", counters.refused_draining}});
  SetCounter(metrics, "anvildrum_openings_over_limit_total",
             "Datagrams that could not open a flow because of the limit on new flows",
             counters.over_limit);
  SetCounter(metrics, "anvildrum_hints_total", "Hints taken from homes", counters.hints);
  SetCounter(metrics, "anvildrum_hints_stale_total", "Hints to a target that is gone",
             counters.stale_hints);
  SetGauge(metrics, "anvildrum_flow_table_entries", "Flows in the table",
           static_cast<double>(balancer.flows.size));
  SetCounter(metrics, "anvildrum_flow_table_evictions_total", "Entries that made room",
             balancer.flows.evictions);
  SetGauge(metrics, "anvildrum_config_number", "Number of the configuration in force",
           static_cast<double>(balancer.config_number));
}

auto ExportMonitor(Registry& metrics, const balancer::Monitor& monitor) -> void {
  SetCounter(metrics, "anvildrum_probes_sent_total", "Probes sent", monitor.probes_sent);
  SetCounter(metrics, "anvildrum_probes_answered_total", "Probes answered",
             monitor.probes_answered);
}

auto ExportFence(Registry& metrics, const WakeFence& fence) -> void {
  SetCounter(metrics, "anvildrum_stops_noticed_total", "Times that the process was not run",
             fence.stops);
  SetCounter(metrics, "anvildrum_packets_fenced_total",
             "Client datagrams dropped after a stop, before the balancer was up to date",
             fence.dropped);
}

namespace {

auto ExportStandBy(Registry& metrics, const agent::Agent& agent) -> void {
  const auto& counters = agent.counters;
  const auto& directory = agent.directory.counters;
  SetLabelled(metrics, "anvildrum_stand_by_total", "Copies of observations, and their use", "event",
              {{"copy_sent", counters.copies_sent},
               {"copy_too_large", counters.copies_too_large},
               {"copy_refused", directory.copies_refused},
               {"withheld", directory.copies_withheld},
               {"flow_taken", directory.copies_taken},
               {"stream_resumed", counters.streams_resumed},
               {"stream_not_resumed", counters.streams_not_resumed}});
  SetCounter(metrics, "anvildrum_stand_by_bytes_total", "Bytes of copies sent, headers and all",
             counters.copy_bytes);
  SetGauge(metrics, "anvildrum_stand_by_copies",
           "Flows of other targets whose observations this agent could take over",
           static_cast<double>(agent.directory.copies.size()));
}

}  // namespace

auto ExportAgent(Registry& metrics, const agent::Agent& agent) -> void {
  const auto& counters = agent.counters;
  const auto& directory = agent.directory.counters;
  SetByName<requests::Counter>(metrics, "anvildrum_requests_total",
                               "Requests by what became of them", "event", counters.requests);
  SetLabelled(metrics, "anvildrum_flow_events_total", "Events of the flow directory", "event",
              {{"delivered", directory.delivered},
               {"opened", directory.opened},
               {"deflected", directory.deflected},
               {"passed_on", directory.passed_on},
               {"wrong_service", directory.wrong_service},
               {"hop_limit", directory.hop_limit},
               {"full", directory.full},
               {"asked", directory.asked},
               {"conflicts", directory.conflicts},
               {"yielded", directory.yielded},
               {"stops_noticed", directory.stops_noticed},
               {"ended", directory.ended},
               {"handed_over", directory.handed_over},
               {"taken_over", directory.taken_over},
               {"hand_overs_refused", directory.hand_overs_refused},
               {"hand_overs_taken_back", directory.hand_overs_taken_back},
               {"unknown_flow", directory.unknown_flow},
               {"draining", directory.draining},
               {"held_dropped", directory.held_dropped}});
  SetLabelled(metrics, "anvildrum_tunnel_messages_refused_total",
              "Tunnel messages with the right seal that make no sense here", "kind",
              {{"malformed", counters.malformed + directory.malformed},
               {"stale_sender", directory.stale_sender}});
  SetGauge(metrics, "anvildrum_flows", "Flows that this agent serves",
           static_cast<double>(agent.directory.owned.size()));
  SetGauge(metrics, "anvildrum_flow_exceptions", "Flows of this home that others serve",
           static_cast<double>(agent.directory.known.size()));
  SetCounter(metrics, "anvildrum_moved_address_total",
             "Packets for an address that is not the service's any more", counters.moved_address);
  SetCounter(metrics, "anvildrum_control_bytes_total", "Bytes of directory messages sent",
             directory.control_bytes);
  SetCounter(metrics, "anvildrum_replies_total", "Datagrams sent to clients", counters.replies);
  SetCounter(metrics, "anvildrum_replies_dropped_total", "Replies without a way out",
             counters.replies_dropped);
  SetCounter(metrics, "anvildrum_probes_sent_total", "Probes sent", counters.probes_sent);
  SetCounter(metrics, "anvildrum_probes_answered_total", "Probes answered",
             counters.probes_answered);
  SetCounter(metrics, "anvildrum_suspicions_total", "Peers that became suspect",
             counters.suspicions);
  SetCounter(metrics, "anvildrum_target_losses_total",
             "Times that nothing listened at the target any more", counters.target_losses);
  SetCounter(metrics, "anvildrum_flows_shed_total",
             "Flows offered to another target because this one refused a request",
             counters.shed_offered);
  SetCounter(metrics, "anvildrum_flows_adopted_total",
             "Flows opened here that a lost target may have served", counters.adopted);
  ExportStandBy(metrics, agent);
  SetGauge(metrics, "anvildrum_config_number", "Number of the configuration in force",
           static_cast<double>(agent.config_number));
}

auto ExportRelay(Registry& metrics, const relay::State& state) -> void {
  const auto& counters = state.counters;
  SetLabelled(metrics, "anvildrum_relay_records_total", "Records offered to this instance",
              "verdict",
              {{"accepted", counters.accepted},
               {"duplicate", counters.duplicates},
               {"stale_revision", counters.refused_stale_revision},
               {"stale_number", counters.refused_stale_number},
               {"config_deleted", counters.refused_config_deleted},
               {"forgotten", counters.refused_forgotten}});
  SetLabelled(metrics, "anvildrum_relay_events_total", "Events of the relay", "event",
              {{"gaps", counters.gaps},
               {"repairs", counters.repairs},
               {"watches_started", counters.watches_started},
               {"watches_failed", counters.watches_failed},
               {"polls_started", counters.polls_started},
               {"polls_failed", counters.polls_failed},
               {"subscribes_sent", counters.subscribes_sent},
               {"updates_sent", counters.updates_sent},
               {"heartbeats_sent", counters.heartbeats_sent},
               {"suspicions_sent", counters.suspicions_sent},
               {"deletes_issued", counters.deletes_issued},
               {"deletes_conflicted", counters.deletes_conflicted}});
  SetCounter(metrics, "anvildrum_relay_parents_lost_total", "Parents that fell silent",
             counters.parents_lost);
  SetCounter(metrics, "anvildrum_relay_watches_hung_total", "Watches that never answered",
             counters.watches_hung);
}

}  // namespace anvildrum::daemon
