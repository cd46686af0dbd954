#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anvildrum::balancer {

/// An action of a run. `node` is the number of an agent or balancer, modulo the number of them.
enum class ActionKind : std::uint8_t {
  kPacket,   ///< client `node` sends through balancer `other`
  kEndFlow,  ///< the target ends client `node`'s flow
  kDrain,    ///< agent `node`
  kLeave,    ///< agent `node` leaves if it is draining and has no flow
  kJoinAgent,
  kJoinBalancer,
  kStopBalancer,  ///< balancer `node`
  kWeight,        ///< agent `node` gets weight `other` % 3 + 1
  kKill,          ///< agent `node`; its record is removed later
  kRestart,       ///< agent `node`, under the same name and address
  kRestartOther,  ///< agent `node`, under the same name and address, for the other service
  kFreeze,        ///< agent `node`, for `length`
  kCut,           ///< between agents `node` and `other`, for `length`
};

struct Action {
  std::uint32_t at_ms = 0;
  ActionKind kind = ActionKind::kPacket;
  std::uint32_t node = 0;
  std::uint32_t other = 0;
  std::uint32_t length_ms = 0;
};

struct Script {
  std::uint32_t seed = 0;
  std::uint32_t agents = 3;  ///< agents of each service
  std::uint32_t balancers = 2;
  std::uint32_t loss_permille = 0;
  bool planned = true;  ///< no agent is killed, paused or disconnected
  std::vector<Action> actions;
};

/// Draws a script. The same seed always gives the same script.
auto DrawScript(std::uint32_t seed, bool planned) -> Script;

/// Formats the script with one line per action.
auto Print(const Script& script) -> std::string;

/// Removes actions as long as the script still fails without them. `fails` runs a script.
template <typename Fails>
auto Shrink(Script script, Fails fails) -> Script {
  for (auto chunk = script.actions.size() / 2 + 1; chunk > 0; chunk /= 2) {
    for (auto start = std::size_t{0}; start < script.actions.size();) {
      auto shorter = script;
      auto end = std::min(start + chunk, shorter.actions.size());
      shorter.actions.erase(shorter.actions.begin() + static_cast<std::ptrdiff_t>(start),
                            shorter.actions.begin() + static_cast<std::ptrdiff_t>(end));
      if (fails(shorter)) {
        script = shorter;
      } else {
        start += chunk;
      }
    }
  }
  return script;
}

}  // namespace anvildrum::balancer
