#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace anvildrum::scenario {

/// A script that is drawn from a seed. Every second one has planned changes alone, after which no
/// feed may be broken; the others have deaths, stops, cuts, outages and a bad network as well,
/// after which what must always hold does, and each flow has one owner.
auto DrawScript(std::uint64_t seed) -> std::vector<std::string>;

/// Runs `count` drawn scripts. Prints the shortest script that is left when statements are dropped
/// as long as it still fails. Returns how many failed.
auto RunDrawn(std::uint64_t first_seed, std::uint64_t count, std::ostream& out) -> std::uint64_t;

}  // namespace anvildrum::scenario
