#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/types/time.h"
#include "packetd/adapter.h"
#include "packetd/settings.h"
#include "packetd/types/platform_clients.h"
#include "platform/shared_reads.h"

namespace anvildrum::packetd {

/// Whom the reads tell.
struct OperatorReadCallbacks {
  std::function<void(const platform::Object&)> on_configuration;
  std::function<void(const platform::Listing&)> on_drains;        ///< all that are drained
  std::function<void(const platform::PlatformError*)> on_answer;  ///< null: no error
  std::function<void()> on_confirmed;  ///< all of a read has been given: others may put off theirs
};

/// Reads since the start, and what others told in place of own ones.
struct OperatorReadCounters {
  std::uint64_t reads = 0;
  std::uint64_t failed = 0;         ///< of these
  std::uint64_t confirmations = 0;  ///< of others that made what is known here newer
};

/// Whose answer a read of the configuration alone takes.
enum class Freshness : std::uint8_t {
  kNewest,      ///< as it is at the platform now
  kMayBeStale,  ///< cheaper, from a copy that may be seconds behind
};

/// Reads what operators want, the configuration and the drained failure domains, at the platform,
/// in turn with the other balancers (platform::SharedReads). Reads are linearizable: what one
/// brings was the newest when it began.
class OperatorReads {
 public:
  /// `clients` and `adapter` have to outlive it.
  OperatorReads(const PlatformClients& clients, const Adapter& adapter, const Settings& settings,
                OperatorReadCallbacks callbacks);

  /// The first read follows within a part of the bound; a copy of the configuration, which may be
  /// old, is read at once. Whoever started at the same moment is told of the first read.
  auto Begin(base::TimePoint now) -> void;

  /// Reads where it is this balancer's turn and no configuration is coming from the platform.
  /// Called at each check of stalls.
  auto Check(base::TimePoint now) -> void;

  /// Reads the configuration alone: another balancer has a newer one. An answer confirms nothing,
  /// and an error is followed by the next regular read. OperatorReadCallbacks::on_answer is told.
  auto FetchConfiguration(Freshness freshness) -> void;

  /// Whether a configuration is coming from the platform.
  [[nodiscard]] auto IsConfigurationComing() const -> bool;

  /// How many balancers tell each other of their reads, this one included.
  auto SetBalancers(std::size_t count, base::TimePoint now) -> void;

  /// Longest wait between two calls of this balancer that are not answered, such that the calls of
  /// all balancers together don't grow with their number.
  [[nodiscard]] auto TurnInOutage() const -> base::Duration;

  /// There is something newer at the platform.
  auto Hasten(base::TimePoint now) -> void;

  /// Another balancer's read, begun at `as_of`, found nothing newer than what is known here. True
  /// where what is known had not been confirmed for a while.
  auto Confirm(base::TimePoint as_of, base::TimePoint now) -> bool;

  /// How long ago what is known was confirmed; nothing before the first read.
  [[nodiscard]] auto Age(base::TimePoint now) const -> std::optional<base::Duration>;

  OperatorReadCounters counters;

 private:
  auto GetConfiguration(platform::Client& client,
                        std::function<void(const platform::PlatformError*)> then) -> void;
  auto OnPartialAnswer(const platform::PlatformError* error) -> void;

  PlatformClients clients;
  const Adapter& adapter;
  OperatorReadCallbacks callbacks;
  bool reads_drains = false;
  platform::SharedReads reads;
  unsigned awaited = 0;  ///< answers of the read under way
  bool failed = false;   ///< one of them was an error
};

}  // namespace anvildrum::packetd
