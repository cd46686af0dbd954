#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "scenario/message.h"

namespace anvildrum::scenario {

struct World;

enum class Outcome : std::uint8_t { kPending, kAnswered, kNotRun, kUnknown, kTimeout, kOther };
auto NameOf(Outcome outcome) -> std::string;

/// One request as its user sees it.
struct Order {
  std::string id;
  std::string client;
  std::uint8_t method = 0;
  Outcome outcome = Outcome::kPending;
  std::uint64_t executions = 0;
  base::TimePoint sent{};
  base::TimePoint told{};
  base::TimePoint ran_at{};
};

/// One CoAP exchange; an order takes two when it is challenged (RFC 9175).
struct Exchange {
  std::string order;
  requests::Token token;
  std::uint16_t message_id = 0;
  Bytes bytes;
  unsigned sends = 0;
  bool acknowledged = false;
  bool open = true;
  bool confirmed = false;  ///< carries an Echo value
};

/// An observation (RFC 7641) of a client.
struct Stream {
  requests::Token token;
  std::string id;
  std::string target;             ///< whose answer was the latest, with its life
  base::TimePoint moved{};        ///< to this target from another one
  std::uint64_t two_sources = 0;  ///< notifications of another one, long after that
  std::uint32_t last_sequence = 0;
  base::TimePoint heard{};
  base::Duration longest_gap{};
  std::string gap_target;  ///< that had the stream when its longest gap began, with its life
  std::uint64_t notifications = 0;
  std::string broken;  ///< why; empty: it is not
};

/// A stock CoAP client: retransmits (RFC 7252, 4.2), answers a challenge, matches by token.
struct Client {
  std::string name;
  std::string domain;
  base::Endpoint endpoint;
  std::string service;
  base::Endpoint address;  ///< of the service
  std::uint16_t next_message_id = 1;
  std::uint64_t next_token = 1;
  std::uint64_t next_order = 1;
  std::set<std::uint16_t> seen;
  std::vector<Exchange> exchanges;
  std::optional<Stream> stream;
  /// Answers a challenge to a message of its own that is no longer open, which RFC 7252, 4.2 has it
  /// ignore.
  bool answers_any_challenge = false;
  bool held = false;  ///< its packets stay in the network until it is let go
};

/// Sends a request; an empty id makes one.
auto PlaceOrder(World& world, Client& client, std::uint8_t method, const std::string& path,
                std::string id) -> void;
/// Observes `feed`.
auto OpenStream(World& world, Client& client) -> void;
auto CancelStream(World& world, Client& client) -> void;
/// Sends the first message of an order again, as a late duplicate of the network would be.
auto Replay(World& world, const std::string& id) -> void;

auto ClientReceives(World& world, Client& client, BytesView bytes) -> void;

/// The target that had the client's stream when it broke.
auto WhereBroken(const World& world, const Client& client) -> std::string;

/// Why the client's stream is broken at this moment; empty: it is not, or there is none.
auto WhyBroken(const World& world, const Client& client) -> std::string;

}  // namespace anvildrum::scenario
