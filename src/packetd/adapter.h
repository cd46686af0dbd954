#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packets/routes.h"
#include "packets/types/packet.h"
#include "packets/types/target.h"
#include "platform/dialect.h"

namespace anvildrum::packetd {

/// What differs between the machines that the daemon may run on: how packets, heartbeats, the
/// configuration and the platform's calls are spelled. Every member is set; what stands behind them
/// translates and decides nothing.
struct Adapter {
  auto(*decode_packet)(std::span<const std::uint8_t> datagram)
      -> std::optional<packets::Packet> = nullptr;
  auto(*stamp_packet)(std::span<std::uint8_t> datagram, const packets::Stamp& stamp)
      -> void = nullptr;
  /// `sequence`: what the client acknowledged last; any number for an opening.
  auto(*make_reset)(const packets::FlowId& flow, std::uint32_t sequence)
      -> std::vector<std::uint8_t> = nullptr;
  auto(*decode_configuration)(std::string_view text) -> std::optional<packets::Routes> = nullptr;
  auto(*decode_heartbeat)(std::string_view id, std::string_view body)
      -> std::optional<packets::Heartbeat> = nullptr;
  auto(*target_id)(std::string_view id) -> std::uint64_t = nullptr;  ///< packets::Incarnation::id
  const platform::Dialect* dialect = nullptr;
  const platform::Dialect* stale_dialect = nullptr;  ///< cheaper reads, which may be seconds old
  /// An object as the platform answers with it, for balancers that ask each other.
  auto(*encode_object)(const platform::Object& object) -> std::string = nullptr;
  std::string_view configuration_prefix;  ///< of the operator's object at the platform
  std::string_view configuration_key;     ///< of the object itself
  /// Objects of operators, each named after a failure domain that is drained while it is there.
  std::string_view drains_prefix;
  std::string_view members_prefix;  ///< of the agents' records
  std::string_view readiness_path;  ///< GET: 200 or 503
  std::string_view heartbeat_path;  ///< PUT and DELETE, followed by the target's id
};

}  // namespace anvildrum::packetd
