#include "daemon/internal/metric_set.h"
#include "daemon/internal/metrics_export.h"
#include "wire/relay.pb.h"
#include "wire/tunnel.pb.h"

namespace anvildrum::daemon {
namespace {

using telemetry::Registry;

auto SetKind(Registry& metrics, std::string_view name, std::string_view help, std::string_view kind,
             std::uint64_t value) -> void {
  SetLabelled(metrics, name, help, "kind", {{kind, value}});
}

// No default: a new kind without a name fails the build (-Wswitch).
auto NameOf(wire::pb::TunnelHeader::BodyCase kind) -> std::string_view {
  switch (kind) {
    case wire::pb::TunnelHeader::kPacket:
      return "packet";
    case wire::pb::TunnelHeader::kReply:
      return "reply";
    case wire::pb::TunnelHeader::kHint:
      return "hint";
    case wire::pb::TunnelHeader::kOwnerQuery:
      return "owner_query";
    case wire::pb::TunnelHeader::kOwnerAnswer:
      return "owner_answer";
    case wire::pb::TunnelHeader::kRegister:
      return "register";
    case wire::pb::TunnelHeader::kRegisterAck:
      return "register_ack";
    case wire::pb::TunnelHeader::kYield:
      return "yield";
    case wire::pb::TunnelHeader::kProbe:
      return "probe";
    case wire::pb::TunnelHeader::kProbeAnswer:
      return "probe_answer";
    case wire::pb::TunnelHeader::kDrainNotice:
      return "drain_notice";
    case wire::pb::TunnelHeader::kYieldAck:
      return "yield_ack";
    case wire::pb::TunnelHeader::kRefused:
      return "refused";
    case wire::pb::TunnelHeader::kHandOn:
      return "hand_on";
    case wire::pb::TunnelHeader::kHandOnAnswer:
      return "hand_on_answer";
    case wire::pb::TunnelHeader::kResettle:
      return "resettle";
    case wire::pb::TunnelHeader::kHandOver:
      return "hand_over";
    case wire::pb::TunnelHeader::kHandOverAck:
      return "hand_over_ack";
    case wire::pb::TunnelHeader::kStandBy:
      return "stand_by";
    case wire::pb::TunnelHeader::kStandByAck:
      return "stand_by_ack";
    case wire::pb::TunnelHeader::kRestartNotice:
      return "restart_notice";
    case wire::pb::TunnelHeader::BODY_NOT_SET:
      return {};
  }
  return {};
}

auto NameOf(wire::pb::RelayMessage::BodyCase kind) -> std::string_view {
  switch (kind) {
    case wire::pb::RelayMessage::kSubscribe:
      return "subscribe";
    case wire::pb::RelayMessage::kUpdate:
      return "update";
    case wire::pb::RelayMessage::kHeartbeat:
      return "heartbeat";
    case wire::pb::RelayMessage::kUnsubscribe:
      return "unsubscribe";
    case wire::pb::RelayMessage::kSuspicion:
      return "suspicion";
    case wire::pb::RelayMessage::BODY_NOT_SET:
      return {};
  }
  return {};
}

/// Calls `take` with name and number of each kind of message that has a name.
template <typename BodyCase, typename Take>
auto ForEachKind(std::size_t count, Take&& take) -> void {
  for (auto number = std::size_t{1}; number < count; ++number) {
    auto name = NameOf(static_cast<BodyCase>(number));
    if (!name.empty()) take(name, number);
  }
}

}  // namespace

auto ExportRelayTraffic(Registry& metrics, const RelayTraffic& traffic) -> void {
  ForEachKind<wire::pb::RelayMessage::BodyCase>(kRelayKinds, [&](std::string_view kind,
                                                                 std::size_t number) {
    const auto& sent = traffic.sent.at(number);
    const auto& received = traffic.received.at(number);
    SetKind(metrics, "anvildrum_relay_sent_messages_total", "Messages sent by the relay", kind,
            sent.messages);
    SetKind(metrics, "anvildrum_relay_sent_bytes_total", "Bytes of them", kind, sent.bytes);
    SetKind(metrics, "anvildrum_relay_received_messages_total", "Messages that the relay got", kind,
            received.messages);
    SetKind(metrics, "anvildrum_relay_received_bytes_total", "Bytes of them", kind, received.bytes);
  });
}

auto ExportTunnelTraffic(Registry& metrics, const TunnelCounts& counts) -> void {
  ForEachKind<wire::pb::TunnelHeader::BodyCase>(
      kTunnelKinds, [&](std::string_view kind, std::size_t number) {
        const auto& sent = counts.sent.at(number);
        const auto& received = counts.received.at(number);
        SetKind(metrics, "anvildrum_tunnel_sent_datagrams_total", "Datagrams sent by the tunnel",
                kind, sent.datagrams);
        SetKind(metrics, "anvildrum_tunnel_sent_bytes_total", "Bytes of their UDP payload", kind,
                sent.bytes);
        SetKind(metrics, "anvildrum_tunnel_received_datagrams_total", "Tunnel datagrams opened",
                kind, received.datagrams);
        SetKind(metrics, "anvildrum_tunnel_received_bytes_total", "Bytes of their UDP payload",
                kind, received.bytes);
      });
}

}  // namespace anvildrum::daemon
