#include "daemon/internal/metrics_export.h"

#include <array>
#include <span>
#include <string>
#include <string_view>

namespace anvildrum::daemon {
namespace {

using telemetry::Registry;

struct Sample {
  std::string_view label;
  std::uint64_t value = 0;
};

auto SetCounter(Registry& metrics, std::string_view name, std::string_view help,
                std::uint64_t value) -> void {
  telemetry::AddCounter(metrics, name, help).value = value;
}

auto SetLabelled(Registry& metrics, std::string_view name, std::string_view help,
                 std::string_view label, std::span<const Sample> samples) -> void {
  for (const auto& sample : samples) {
    auto labels = telemetry::Labels{{std::string(label), std::string(sample.label)}};
    telemetry::AddCounter(metrics, name, help, labels).value = sample.value;
  }
}

auto SetKind(Registry& metrics, std::string_view name, std::string_view help, std::string_view kind,
             std::uint64_t value) -> void {
  SetLabelled(metrics, name, help, "kind", std::array<Sample, 1>{{{kind, value}}});
}

auto SetGauge(Registry& metrics, std::string_view name, std::string_view help, double value)
    -> void {
  telemetry::Set(telemetry::AddGauge(metrics, name, help), value);
}

// In the order of requests::Counter.
constexpr auto kRequestEvents =
    std::array<std::string_view, static_cast<std::size_t>(requests::Counter::kCount)>{
        "client_malformed",
        "target_malformed",
        "unexpected_from_client",
        "unexpected_from_target",
        "admitted",
        "queued",
        "answered",
        "refused_queue",
        "refused_client_limit",
        "refused_ledger_full",
        "refused_challenges",
        "refused_expired_echo",
        "refused_streams",
        "unknown_run_limit",
        "unknown_target_gone",
        "unknown_foreign_echo",
        "unknown_echo_used",
        "unknown_adopted_flow",
        "unknown_upload",
        "unknown_identity_reuse",
        "unknown_hand_on",
        "challenged",
        "retransmission_answered",
        "retransmission_while_running",
        "late_answer",
        "stale_notification",
        "stream_opened",
        "stream_ended",
        "stream_client_gone",
        "hand_on_offered",
        "hand_on_answered",
        "hand_on_budget_spent"};

// In the order of wire::WireErrorCode.
constexpr auto kWireErrors = std::array<std::string_view, TunnelCounts::kCodes>{
    "truncated", "bad_mac", "malformed", "missing_body", "bad_address", "too_large", "no_key"};

// By the field number of TunnelHeader's body, from 3.
constexpr auto kFirstBody = std::size_t{3};
constexpr auto kTunnelBodies = std::array<std::string_view, kTunnelKinds - kFirstBody>{
    "packet",       "reply",   "hint",           "owner_query",  "owner_answer", "register",
    "register_ack", "yield",   "probe",          "probe_answer", "drain_notice", "yield_ack",
    "refused",      "hand_on", "hand_on_answer", "resettle",     "hand_over",    "hand_over_ack"};

// By the field number of RelayMessage's body, from 3.
constexpr auto kRelayBodies = std::array<std::string_view, kRelayKinds - kFirstBody>{
    "subscribe", "update", "heartbeat", "unsubscribe", "suspicion"};

// In the order of platform::CallKind.
constexpr auto kPlatformCalls =
    std::array<std::string_view, platform::kCallKinds>{"get", "list", "put", "delete", "watch"};

}  // namespace

auto ExportBalancer(Registry& metrics, const balancer::Balancer& balancer) -> void {
  const auto& counters = balancer.counters;
  SetCounter(metrics, "anvildrum_client_packets_total", "Datagrams from clients",
             counters.client_packets);
  SetCounter(metrics, "anvildrum_replies_total", "Datagrams sent to clients", counters.replies);
  SetLabelled(metrics, "anvildrum_routed_total", "Client datagrams by way", "way",
              std::array<Sample, 3>{{{"owner", counters.to_owner},
                                     {"home", counters.to_home},
                                     {"second", counters.to_second}}});
  SetLabelled(metrics, "anvildrum_packets_dropped_total", "Client datagrams dropped", "reason",
              std::array<Sample, 5>{{{"unknown_address", counters.unknown_address},
                                     {"no_target", counters.no_target},
                                     {"not_ready", counters.not_ready},
                                     {"malformed", counters.malformed},
                                     {"wrong_service", counters.wrong_service}}});
  SetLabelled(metrics, "anvildrum_packets_refused_total", "Client datagrams that agents refused",
              "reason",
              std::array<Sample, 5>{{{"wrong_service", counters.refused_wrong_service},
                                     {"full", counters.refused_full},
                                     {"unknown_flow", counters.refused_unknown_flow},
                                     {"hop_limit", counters.refused_hop_limit},
                                     {"draining", counters.refused_draining}}});
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

auto ExportAgent(Registry& metrics, const agent::Agent& agent) -> void {
  const auto& counters = agent.counters;
  const auto& directory = agent.directory.counters;
  for (auto i = std::size_t{0}; i < kRequestEvents.size(); ++i) {
    SetLabelled(metrics, "anvildrum_requests_total", "Requests by what became of them", "event",
                std::array<Sample, 1>{{{kRequestEvents[i], counters.requests[i]}}});
  }
  SetLabelled(metrics, "anvildrum_flow_events_total", "Events of the flow directory", "event",
              std::array<Sample, 14>{{{"delivered", directory.delivered},
                                      {"opened", directory.opened},
                                      {"deflected", directory.deflected},
                                      {"passed_on", directory.passed_on},
                                      {"wrong_service", directory.wrong_service},
                                      {"hop_limit", directory.hop_limit},
                                      {"full", directory.full},
                                      {"asked", directory.asked},
                                      {"conflicts", directory.conflicts},
                                      {"ended", directory.ended},
                                      {"handed_over", directory.handed_over},
                                      {"taken_over", directory.taken_over},
                                      {"hand_overs_refused", directory.hand_overs_refused},
                                      {"hand_overs_taken_back", directory.hand_overs_taken_back}}});
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
  SetCounter(metrics, "anvildrum_flows_adopted_total",
             "Flows opened here that a lost target may have served", counters.adopted);
  SetGauge(metrics, "anvildrum_config_number", "Number of the configuration in force",
           static_cast<double>(agent.config_number));
}

auto ExportRelay(Registry& metrics, const relay::State& state) -> void {
  const auto& counters = state.counters;
  SetLabelled(metrics, "anvildrum_relay_records_total", "Records offered to this instance",
              "verdict",
              std::array<Sample, 5>{{{"accepted", counters.accepted},
                                     {"duplicate", counters.duplicates},
                                     {"stale_revision", counters.refused_stale_revision},
                                     {"stale_number", counters.refused_stale_number},
                                     {"forgotten", counters.refused_forgotten}}});
  SetCounter(metrics, "anvildrum_relay_parents_lost_total", "Parents that fell silent",
             counters.parents_lost);
  SetCounter(metrics, "anvildrum_relay_watches_hung_total", "Watches that never answered",
             counters.watches_hung);
}

auto ExportRelayTraffic(Registry& metrics, const RelayTraffic& traffic) -> void {
  for (auto i = std::size_t{0}; i < kRelayBodies.size(); ++i) {
    const auto& sent = traffic.sent[i + kFirstBody];
    const auto& received = traffic.received[i + kFirstBody];
    SetKind(metrics, "anvildrum_relay_sent_messages_total", "Messages sent by the relay",
            kRelayBodies[i], sent.messages);
    SetKind(metrics, "anvildrum_relay_sent_bytes_total", "Bytes of them", kRelayBodies[i],
            sent.bytes);
    SetKind(metrics, "anvildrum_relay_received_messages_total", "Messages that the relay got",
            kRelayBodies[i], received.messages);
    SetKind(metrics, "anvildrum_relay_received_bytes_total", "Bytes of them", kRelayBodies[i],
            received.bytes);
  }
}

namespace {

auto ExportTunnelTraffic(Registry& metrics, const TunnelCounts& counts) -> void {
  for (auto i = std::size_t{0}; i < kTunnelBodies.size(); ++i) {
    const auto& sent = counts.sent[i + kFirstBody];
    const auto& received = counts.received[i + kFirstBody];
    SetKind(metrics, "anvildrum_tunnel_sent_datagrams_total", "Datagrams sent by the tunnel",
            kTunnelBodies[i], sent.datagrams);
    SetKind(metrics, "anvildrum_tunnel_sent_bytes_total", "Bytes of their UDP payload",
            kTunnelBodies[i], sent.bytes);
    SetKind(metrics, "anvildrum_tunnel_received_datagrams_total", "Tunnel datagrams opened",
            kTunnelBodies[i], received.datagrams);
    SetKind(metrics, "anvildrum_tunnel_received_bytes_total", "Bytes of their UDP payload",
            kTunnelBodies[i], received.bytes);
  }
}

}  // namespace

auto ExportTunnel(Registry& metrics, const TunnelPort& tunnel) -> void {
  ExportTunnelTraffic(metrics, tunnel.Counts());
  for (auto i = std::size_t{0}; i < kWireErrors.size(); ++i) {
    SetLabelled(metrics, "anvildrum_tunnel_refused_total", "Tunnel datagrams refused", "reason",
                std::array<Sample, 1>{{{kWireErrors[i], tunnel.Counts().refused[i]}}});
  }
  SetCounter(metrics, "anvildrum_tunnel_unsent_total", "Datagrams too large for the tunnel",
             tunnel.Counts().unsent);
  SetCounter(metrics, "anvildrum_tunnel_send_drops_total", "Datagrams the system did not take",
             tunnel.UdpCounts().send_drops);
}

auto ExportPlatform(Registry& metrics, const platform::Client& client) -> void {
  const auto& counts = client.Counts();
  for (auto i = std::size_t{0}; i < kPlatformCalls.size(); ++i) {
    SetLabelled(metrics, "anvildrum_platform_calls_total", "Calls to the platform", "kind",
                std::array<Sample, 1>{{{kPlatformCalls[i], counts.sent[i]}}});
  }
  SetGauge(metrics, "anvildrum_platform_waiting_watches", "Watches that wait now",
           static_cast<double>(counts.waiting_watches));
}

}  // namespace anvildrum::daemon
