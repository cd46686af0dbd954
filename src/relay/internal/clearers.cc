#include "relay/internal/clearers.h"

#include <algorithm>
#include <vector>

namespace anvildrum::relay {
namespace {

/// Of each domain so many are asked before the next domain's turn comes.
constexpr std::size_t kClearersOfDomain = 3;

auto FirstClearers(const State& state, const std::vector<RelayPeer>& domain) -> std::vector<Link> {
  std::vector<Link> clearers;
  for (const RelayPeer& peer : domain) {
    if (clearers.size() == kClearersOfDomain) break;
    if (!IsSilent(state, peer.control)) clearers.push_back(ToLink(peer));
  }
  return clearers;
}

/// Safeguard: a failure domain is lost with its balancers, and every target of it is reported by
/// its quorum again and again. Symptom, were the next domain's first balancer to clear for all: 58
/// KB/s of reports there, eight times what it has for control. Drawn by the record's key, each
/// clearer gets its share, and all reporters of a record still name the same one.
auto AppendDrawn(const State& state, const std::vector<RelayPeer>& domain, const std::string& key,
                 std::vector<Link>& clearers) -> void {
  std::vector<Link> drawn;
  for (const RelayPeer& peer : domain) {
    if (drawn.size() == state.settings.policy.clearers_of_next) break;
    if (!IsSilent(state, peer.control)) drawn.push_back(ToLink(peer));
  }
  const base::InstanceId place{base::HashName(key)};
  std::sort(drawn.begin(), drawn.end(), [&](const Link& left, const Link& right) {
    return Weight(place, left.instance) > Weight(place, right.instance);
  });
  if (drawn.size() > kClearersOfDomain) drawn.resize(kClearersOfDomain);
  clearers.insert(clearers.end(), drawn.begin(), drawn.end());
}

/// The record's own domain and the others take turns: a lost domain is cleared by the next one
/// after one waiting time, and not after as many as it had clearers.
auto InTurns(const std::vector<Link>& own, const std::vector<Link>& others) -> std::vector<Link> {
  std::vector<Link> turns;
  for (std::size_t i = 0; i < std::max(own.size(), others.size()); ++i) {
    if (i < own.size()) turns.push_back(own[i]);
    if (i < others.size()) turns.push_back(others[i]);
  }
  return turns;
}

}  // namespace

auto ClearerFor(const State& state, const RecordRef& record, std::size_t attempt) -> Link {
  auto own = std::vector<Link>{};
  auto others = std::vector<Link>{};
  for (std::size_t steps = 0; steps < state.domains.size(); ++steps) {
    const auto& domain = DomainAfter(state, record.failure_domain, steps);
    const bool is_own = domain.front().failure_domain == record.failure_domain;
    if (is_own) own = FirstClearers(state, domain);
    if (!is_own) AppendDrawn(state, domain, record.key, others);
  }
  const auto clearers = InTurns(own, others);
  // Safeguard: the turns go round. An outage of the platform outlasts them, and a record that came
  // to the end of the list would never be cleared afterwards.
  if (clearers.empty()) return {};
  return clearers[attempt % clearers.size()];
}

}  // namespace anvildrum::relay
