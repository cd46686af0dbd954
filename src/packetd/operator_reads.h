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

/// Callbacks for the results of reads.
struct OperatorReadCallbacks {
  std::function<void(const platform::Object&)> on_configuration;
  std::function<void(const platform::Listing&)> on_drains;        ///< all drained domains
  std::function<void(const platform::PlatformError*)> on_answer;  ///< null: success
  std::function<void()> on_confirmed;  ///< after a complete read; others can delay theirs
};

/// Reads since the start, and confirmations by other balancers that replaced own reads.
struct OperatorReadCounters {
  std::uint64_t reads = 0;
  std::uint64_t failed = 0;         ///< reads that failed
  std::uint64_t confirmations = 0;  ///< reads of others that reduced the age of the known state
};

/// How fresh the answer to a read of the configuration alone has to be.
enum class Freshness : std::uint8_t {
  kNewest,      ///< the current state of the platform
  kMayBeStale,  ///< cheaper; from a copy that may be seconds old
};

/// Reads the configuration and the drained failure domains from the platform, taking turns with the
/// other balancers (platform::SharedReads). Reads are linearizable: the result is at least as new
/// as the platform's state at the start of the read.
class OperatorReads {
 public:
  /// `clients` and `adapter` have to outlive this object.
  OperatorReads(const PlatformClients& clients, const Adapter& adapter, const Settings& settings,
                OperatorReadCallbacks callbacks);

  /// Schedules the first read within a fraction of the freshness bound and reads a copy of the
  /// configuration, which may be stale, at once. Balancers that started at the same moment are told
  /// of the first read.
  auto Begin(base::TimePoint now) -> void;

  /// Starts a read if it is this balancer's turn and no configuration is being received. Called at
  /// each stall check.
  auto Check(base::TimePoint now) -> void;

  /// Reads only the configuration, because another balancer has a newer one. The answer does not
  /// count as a confirmation, and after an error the next regular read follows. Calls
  /// OperatorReadCallbacks::on_answer.
  auto FetchConfiguration(Freshness freshness) -> void;

  /// Whether a configuration is being received from the platform.
  [[nodiscard]] auto IsConfigurationComing() const -> bool;

  /// Sets how many balancers share their reads, this one included.
  auto SetBalancers(std::size_t count, base::TimePoint now) -> void;

  /// Longest wait between two unanswered calls of this balancer. It grows with the number of
  /// balancers, so that their total call rate does not.
  [[nodiscard]] auto TurnInOutage() const -> base::Duration;

  /// Brings the next read forward because the platform has a newer state.
  auto Hasten(base::TimePoint now) -> void;

  /// Records that another balancer's read, begun at `as_of`, found nothing newer than the state
  /// known here. Returns true if this reduced the state's age by more than half of the policy's
  /// fresh_for.
  auto Confirm(base::TimePoint as_of, base::TimePoint now) -> bool;

  /// Time since the known state was last confirmed; empty before the first read.
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
  unsigned pending_answers = 0;  ///< outstanding answers of the current read
  bool failed = false;           ///< an answer of the current read was an error
};

}  // namespace anvildrum::packetd
