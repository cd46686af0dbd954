#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "base/types/time.h"
#include "packetd/adapter.h"
#include "packets/route_history.h"
#include "platform/client.h"

namespace anvildrum::packetd {

struct RouteHistoryCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t failed = 0;      ///< of both
  std::uint64_t unreadable = 0;  ///< parts that were left out
};

/// What a RouteHistoryStore needs to know of its balancer at each step.
struct RouteHistoryContext {
  bool is_writer = false;         ///< this balancer writes what others have to read
  bool platform_answers = false;  ///< it answered any balancer lately
  base::Duration outage_turn{};   ///< longest wait between two calls while it does not
  std::size_t balancers = 1;      ///< number of balancers that may have the same to write
};

/// Reads and writes the route history at the platform (packets/route_history.h). One balancer
/// writes. Each reads when it starts and when a reset depends on it, and after it has changed the
/// services of a route, which the writer may have missed. Writes carry the revision that was read,
/// so that two writers do not undo each other's changes.
class RouteHistoryStore {
 public:
  /// All references have to outlive this object.
  RouteHistoryStore(platform::Client& client, const Adapter& adapter, packets::Balancer& core);

  /// Begins the reads and writes that are due. Called at each stall check.
  auto Step(const RouteHistoryContext& context, base::TimePoint now) -> void;

  RouteHistoryCounters counters;

 private:
  struct Part {
    std::uint64_t revision = 0;  ///< 0: there is no object
    packets::RouteServices services;
  };

  [[nodiscard]] auto IsReadDue(base::TimePoint now) const -> bool;
  auto Read(base::TimePoint now) -> void;
  auto Take(const platform::Listing& listing, base::TimePoint read_at) -> void;
  auto Compare(bool is_writer, std::size_t balancers, base::TimePoint now) -> void;
  auto WriteNext() -> void;
  auto OnWritten(std::size_t part, const packets::RouteServices& services,
                 const platform::Outcome<std::uint64_t>& outcome) -> void;
  auto OnFailed(const platform::PlatformError& error) -> void;

  platform::Client& client;
  const Adapter& adapter;
  packets::Balancer& core;
  std::array<Part, packets::kHistoryParts> parts;
  bool known = false;    ///< `parts` are as last read or written
  bool pending = false;  ///< a call is in progress
  base::TimePoint next_call_at{};
  base::TimePoint begun_at{};          ///< of the last read
  base::TimePoint compared_at{};       ///< when `parts` were last compared with the core
  std::uint64_t compared_changes = 0;  ///< Balancer::route_changes at that time
  /// When this balancer checks that the writer has recorded its changes.
  std::optional<base::TimePoint> check_at;
  bool writes = false;  ///< whether the read in progress is followed by writes
  base::Duration retry_after{};
};

}  // namespace anvildrum::packetd
