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

/// The formats that depend on the environment in which the daemon runs: packets, heartbeats, the
/// configuration and calls to the platform. Every member has to be set. The functions only
/// translate formats; they make no decisions.
struct Adapter {
  auto(*decode_packet)(std::span<const std::uint8_t> datagram)
      -> std::optional<packets::Packet> = nullptr;
  auto(*stamp_packet)(std::span<std::uint8_t> datagram, const packets::Stamp& stamp)
      -> void = nullptr;
  /// `sequence`: the number that the client acknowledged last; any number for an opening.
  auto(*make_reset)(const packets::FlowId& flow, std::uint32_t sequence)
      -> std::vector<std::uint8_t> = nullptr;
  auto(*decode_configuration)(std::string_view text) -> std::optional<packets::Routes> = nullptr;
  auto(*decode_heartbeat)(std::string_view id, std::string_view body)
      -> std::optional<packets::Heartbeat> = nullptr;
  auto(*target_id)(std::string_view id) -> std::uint64_t = nullptr;  ///< packets::Incarnation::id
  const platform::Dialect* dialect = nullptr;
  const platform::Dialect* stale_dialect = nullptr;  ///< cheaper reads that may be seconds old
  /// Encodes an object as the platform's response does, for requests between processes.
  auto(*encode_object)(const platform::Object& object) -> std::string = nullptr;
  std::string_view configuration_prefix;  ///< key prefix of the configuration at the platform
  std::string_view configuration_key;     ///< key of the configuration object
  /// Key prefix of the drain objects. A failure domain is drained while an object of its name
  /// exists.
  std::string_view drains_prefix;
  std::string_view members_prefix;        ///< key prefix of the agents' records
  std::string_view route_history_prefix;  ///< key prefix of the recorded history of routes
  std::string_view readiness_path;        ///< GET: 200 or 503
  std::string_view heartbeat_path;        ///< PUT and DELETE, followed by the target's id
  /// Contract of the platform that switches on all of admission::Policy (see ShortagePolicyOf).
  std::string_view shortage_contract;
};

}  // namespace anvildrum::packetd
