#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/types/ids.h"
#include "packets/types/packet.h"
#include "packets/types/target.h"

namespace anvildrum::packetd {

/// An agent's record at the platform. It holds what a balancer needs to send the agent a hello, and
/// the target to which the agent delivers openings, which a later process of the agent has to know.
/// The agent reports everything else itself.
struct Record {
  packets::Address agent = 0;
  std::string service;
  packets::Incarnation target{};
};

/// The name of an agent's record below the prefix of the members, as in "10-1-0-12".
auto RecordName(packets::Address agent) -> std::string;

auto EncodeRecord(const Record& record) -> std::string;

/// Reads what balancers need of a record; `target` is left empty.
auto DecodeRecord(std::string_view text) -> std::optional<Record>;

/// The agent that a record's key names.
auto AgentOfKey(std::string_view key) -> std::optional<packets::Address>;

}  // namespace anvildrum::packetd
