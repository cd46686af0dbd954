#pragma once

#include <optional>
#include <string>
#include <vector>

#include "scenario/run.h"
#include "scenario/script.h"
#include "scenario/world.h"

namespace anvildrum::scenario {

/// Reads the words of a statement in turn. A word that does not fit marks the statement as wrong.
struct Words {
  const Line& line;
  std::size_t next = 0;
  bool wrong = false;
};

auto IsAtEnd(const Words& words) -> bool;
/// Takes the next word when it is this one.
auto Takes(Words& words, std::string_view text) -> bool;
auto TakeName(Words& words) -> std::string;
auto TakeNumber(Words& words) -> double;
auto TakeDuration(Words& words) -> base::Duration;
/// Names up to one of the words that have a meaning of their own.
auto TakeNames(Words& words) -> std::vector<std::string>;

/// A run under way.
struct Run {
  World world;
  Report report;
  std::uint64_t patches = 0;                                  ///< of the script, so far
  std::map<std::string, std::uint64_t> patch_outcomes;        ///< "accepted", "refused", "lost"
  std::map<std::string, std::set<std::string>> flows_before;  ///< target -> clients, see Watch
};

auto IsSetUp(const std::string& verb) -> bool;
/// Each returns false when the statement does not make sense.
auto SetUp(Run& run, const Line& line) -> bool;
auto Act(Run& run, const Line& line) -> bool;
auto Expect(Run& run, const Line& line) -> bool;

/// What must hold at the end of every run.
auto CheckAlways(Run& run) -> void;
auto SubmitPatch(Run& run, const std::string& patch) -> void;

}  // namespace anvildrum::scenario
