#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "requests/coap_message.h"
#include "requests/requests.h"

// Several request cores with their targets and clients on one virtual clock, connected by a network
// that drops, duplicates, reorders and delays. The seed determines the whole run.
namespace anvildrum::requests::world {

inline constexpr std::uint8_t kGet = 1;
inline constexpr std::uint8_t kPost = 2;
inline constexpr std::uint8_t kPut = 3;

enum class Outcome : std::uint8_t { kPending, kAnswered, kNotRun, kUnknown, kTimeout };

/// A request from its user's point of view. Its number is the payload, which the target returns.
struct UserRequest {
  std::uint8_t method = kPost;
  base::FlowKey flow;
  Outcome outcome = Outcome::kPending;
  bool foreign_answer = false;  ///< an answer with the number of another request
  std::uint32_t executions = 0;
  base::TimePoint outcome_at;      ///< when the outcome reached the client
  bool ran_after_unknown = false;  ///< long after its client was told that it would not run
};

struct Faults {
  double drop = 0;
  double duplicate = 0;
  double late = 0;         ///< share of copies delayed by minutes
  double agent_death = 0;  ///< probability per second that an agent restarts
  double target_death = 0;
  double move = 0;       ///< probability per second that a flow moves to another agent
  double hand_over = 0;  ///< probability per second of a planned hand-over
  bool adopted = false;  ///< moved flows are opened as taken over
  bool reuse_tokens = false;
  bool deadlines = false;  ///< most requests carry a Deadline option of 30 to 400 ms
  bool lenient = false;    ///< clients accept a challenge of any message of an open request
};

struct Exchange {
  std::size_t user_request = 0;
  std::uint16_t message_id = 0;
  Token token;
  Bytes bytes;
  int sends = 0;
  bool acknowledged = false;
  bool open = true;
};

struct Client {
  base::FlowKey flow;
  std::size_t owner = 0;
  std::uint16_t next_message_id = 0;
  std::vector<Exchange> exchanges;
  std::set<std::uint16_t> seen;  ///< message IDs of CON messages received
};

struct Agent {
  StatePtr core;
  base::Incarnation incarnation = 0;
  std::uint64_t target_incarnation = 0;
};

struct World {
  std::mt19937_64 random;
  Faults faults;
  Parameters parameters;
  base::TimePoint now{base::hours(1)};
  std::vector<Agent> agents;
  std::vector<Client> clients;
  std::vector<UserRequest> user_requests;
  using Job = std::function<void()>;
  std::multimap<base::TimePoint, Job> jobs;
  std::map<Counter, std::uint64_t> counts;
  bool echo_reached_target = false;
};

/// Returns a request to /hold, or the answer 2.04 to it, with `number` in the last four bytes.
auto MakeRequest(std::uint8_t method, std::uint16_t message_id, const Token& token,
                 std::size_t number) -> Bytes;
auto MakeResponse(MessageType type, std::uint16_t message_id, const Token& token,
                  std::size_t number) -> Bytes;

auto MakeWorld(std::uint64_t seed, const Faults& faults, const Parameters& parameters,
               std::size_t agents, std::size_t clients) -> World;
auto RestartAgent(World& world, std::size_t agent) -> void;
auto Feed(World& world, std::size_t agent, const Event& event) -> void;
auto SubmitRequest(World& world, std::size_t client, std::uint8_t method) -> std::size_t;
/// Runs until no job is left.
auto RunAll(World& world) -> void;
auto After(World& world, base::Duration delay, World::Job job) -> void;

auto Chance(World& world, double share) -> bool;
/// Runs the job after a network delay. The faults may drop or duplicate it.
auto Deliver(World& world, const World::Job& job) -> void;
auto NumberIn(BytesView datagram) -> std::size_t;
auto ClientOf(World& world, const base::FlowKey& flow) -> Client&;
auto SendToOwner(World& world, const base::FlowKey& flow, const Bytes& bytes) -> void;
auto ClientReceives(World& world, const base::FlowKey& flow, const Bytes& bytes) -> void;

}  // namespace anvildrum::requests::world
