#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "relay/relay.h"

namespace anvildrum::scenario {

struct World;

/// Connections and platform calls round relay::Step, as daemon::RelayRuntime has them.
struct RelayNode {
  World* world = nullptr;
  std::string process;
  relay::State state;
  std::function<void(const std::vector<relay::PlatformObject>&)> on_records;
  std::function<void()> on_ready;
  std::set<base::Endpoint> links;                 ///< to parents and clearers
  std::map<std::uint64_t, std::string> children;  ///< sender -> process
  std::uint64_t watch_call = 0;
  std::uint64_t poll_call = 0;
  std::uint64_t timer_call = 0;
};

auto Feed(RelayNode& node, const relay::Event& event) -> void;

}  // namespace anvildrum::scenario
