#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvildrum::platform_standin {

/// Faults that tests switch on at run time. The counters go down by one each time they strike.
struct Faults {
  bool down = false;                        ///< connections are closed without an answer
  std::uint32_t delay_ms = 0;               ///< wait between a call's effect and its answer
  bool hang_watches = false;                ///< watches are never answered
  std::uint32_t lose_answers = 0;           ///< writes take effect, connection closed
  std::uint32_t error_500 = 0;              ///< calls answered 500 without effect
  std::uint32_t half_body = 0;              ///< answers cut off in the middle of the body
  std::uint64_t stale_reads_revisions = 0;  ///< reads answer from so many revisions ago
  std::uint32_t conflict_after_write = 0;   ///< writes take effect and are answered 412
};

/// Changes the members that the JSON object names and leaves the rest. False, with nothing changed,
/// when the text is not such an object.
auto UpdateFaults(Faults& faults, std::string_view json) -> bool;

/// Counts a counter down; true when the fault strikes.
auto Strike(std::uint32_t& counter) -> bool;

}  // namespace anvildrum::platform_standin
