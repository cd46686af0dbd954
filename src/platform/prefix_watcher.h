#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "platform/client.h"
#include "platform/prefix_watch.h"

namespace anvildrum::platform {

struct PrefixWatcherSettings {
  std::string prefix;
  WatchPolicy policy;
  std::uint64_t seed = 0;  ///< of the jitter; has to differ between instances
};

struct PrefixWatcherCallbacks {
  std::function<void(const Object&)> on_change;       ///< in the order of revisions
  std::function<void(std::uint64_t)> on_synced = {};  ///< all changes up to it have been given
  std::function<void(const PlatformError*)> on_answer = {};  ///< of each call; null: no error
};

struct PrefixWatcherCore;

/// Drives a PrefixWatch over a Client with timers. It starts at once and ends with its destructor,
/// after which no callback runs; a callback may destroy it. The client has to outlive it.
class PrefixWatcher {
 public:
  PrefixWatcher(boost::asio::io_context& context, Client& client,
                const PrefixWatcherSettings& settings, PrefixWatcherCallbacks callbacks);
  ~PrefixWatcher();
  PrefixWatcher(const PrefixWatcher&) = delete;
  auto operator=(const PrefixWatcher&) -> PrefixWatcher& = delete;

  /// After a call that failed the next one is drawn from this time, however many have failed.
  auto SetRetryWithin(base::Duration within) -> void;

  /// The platform answers others again: a wait after a failed call ends within this.
  auto Hasten(base::Duration within) -> void;

  /// Newest revision seen.
  auto Revision() const -> std::uint64_t;
  auto Counters() const -> const WatchCounters&;

 private:
  std::shared_ptr<PrefixWatcherCore> core;
};

}  // namespace anvildrum::platform
