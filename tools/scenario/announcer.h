#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/types/ids.h"

namespace anvildrum::scenario {

struct World;

/// Keeps one object at the platform, as daemon::Announcer does (that one is bound to Asio).
struct Announcer {
  World* world = nullptr;
  std::string process;
  std::string key;
  std::function<std::string(base::Incarnation)> compose;
  std::function<base::Incarnation(const std::string&)> incarnation_of;
  std::function<void(base::Incarnation, std::uint64_t revision)> on_announced;
  base::Incarnation incarnation = 0;
  std::uint64_t seed = 1;
  std::string written;
  bool writing = false;
  bool again = false;
  bool settled = false;
  bool withdrawn = false;
  std::optional<std::uint64_t> provisional;  ///< revision that it serves under
};

auto Announce(Announcer& announcer) -> void;
/// nullptr: the record is not there.
auto Recorded(Announcer& announcer, const std::string* text) -> void;
auto Withdraw(Announcer& announcer, std::function<void()> done) -> void;

}  // namespace anvildrum::scenario
