#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"
#include "packets/types/packet.h"

/// Whom a balancer asks for a configuration that another one has in force.
namespace anvildrum::packets {

/// Who is asked.
enum class ConfigurationSource : std::uint8_t {
  kCopy,      ///< of the platform's state, which may be behind
  kPlatform,  ///< its newest state
  kBalancer,  ///< that has it
};

/// A configuration that another process has, newer than the own one.
struct NewerConfiguration {
  Address holder = 0;  ///< who has it
  std::uint64_t revision = 0;
  base::TimePoint asked_at{};  ///< for it, the last time
  unsigned requests = 0;       ///< so far
  bool first_answer_was_slow =
      false;  ///< its answer was still coming when the next question was due
};

/// What the next question depends on.
struct ConfigurationRequestContext {
  std::uint64_t revision = 0;  ///< of the configuration that is in force here
  bool is_seed = false;        ///< others hear of changes from this balancer
  bool turned_away = false;    ///< the platform has not answered this balancer
  bool answer_coming = false;  ///< to a question or to a read of the configuration
  base::Duration every{};      ///< between two questions
};

/// Takes what another balancer says: `holder` has this revision in force. True where a question for
/// it is due at once.
auto NoteNewer(std::optional<NewerConfiguration>& newer, Address holder, std::uint64_t revision,
               std::uint64_t own_revision) -> bool;

/// Who is asked now; nothing where no question is due. Counts the question as asked.
///
/// Safeguard: answers that come at the same time share the link, and each takes as much longer. A
/// question is due only once the answer that is coming has ended.
auto NextConfigurationSource(std::optional<NewerConfiguration>& newer,
                             const ConfigurationRequestContext& basis, base::TimePoint now)
    -> std::optional<ConfigurationSource>;

/// What agents have said that they keep, to a balancer that has no configuration.
struct KeptConfigurations {
  std::uint64_t newest = 0;  ///< revision
};

/// Takes what an agent says to a balancer that has been running for this long. True where the agent
/// is to be asked for it.
///
/// Safeguard: an agent that kept the configuration once offers what it had then. Asked because it
/// was the first to report, it puts a configuration in force that was replaced long ago.
auto NoteKeptConfiguration(KeptConfigurations& kept, std::uint64_t revision,
                           base::Duration running_for) -> bool;

}  // namespace anvildrum::packets
