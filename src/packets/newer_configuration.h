#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"
#include "packets/types/packet.h"

/// Chooses the source from which a balancer requests a configuration that another balancer already
/// has in force.
namespace anvildrum::packets {

enum class ConfigurationSource : std::uint8_t {
  kCopy,      ///< a copy of the platform's state, which may be out of date
  kPlatform,  ///< the platform, which has the newest state
  kBalancer,  ///< a balancer that has the configuration in force
};

/// A configuration that another instance has and that is newer than this balancer's own.
struct NewerConfiguration {
  Address holder = 0;  ///< the balancer that has it
  std::uint64_t revision = 0;
  base::TimePoint asked_at{};          ///< time of the last request for it
  unsigned requests = 0;               ///< sent so far
  bool first_answer_was_slow = false;  ///< still arriving when the next request was due
};

/// Inputs for the choice of the next source.
struct ConfigurationRequestContext {
  std::uint64_t revision = 0;  ///< of the configuration that is in force here
  bool is_seed = false;        ///< other balancers learn of changes from this one
  bool turned_away = false;    ///< the platform has not answered this balancer
  bool answer_coming = false;  ///< an answer to a request or regular read is arriving
  base::Duration every{};      ///< time between two requests
};

/// Records that the balancer `holder` has this revision in force. Returns true if the revision
/// should be requested at once.
auto NoteNewer(std::optional<NewerConfiguration>& newer, Address holder, std::uint64_t revision,
               std::uint64_t own_revision) -> bool;

/// Returns the source to ask now and counts the request as sent; nullopt if none is due.
///
/// Safeguard: answers that arrive at the same time share the link, and each takes correspondingly
/// longer. The next request is therefore due only once the current answer is complete.
auto NextConfigurationSource(std::optional<NewerConfiguration>& newer,
                             const ConfigurationRequestContext& basis, base::TimePoint now)
    -> std::optional<ConfigurationSource>;

/// Copies of the configuration that agents offer to a balancer that has none.
struct KeptConfigurations {
  std::uint64_t newest = 0;  ///< newest revision offered
};

/// Records that an agent keeps a copy of this revision; `running_for` is how long the balancer has
/// been running. Returns true if the balancer should request the copy.
///
/// Safeguard: an agent may offer a copy that it stored long ago. If the first agent to report were
/// asked at once, a configuration that was replaced long ago could come into force.
auto NoteKeptConfiguration(KeptConfigurations& kept, std::uint64_t revision,
                           base::Duration running_for) -> bool;

}  // namespace anvildrum::packets
