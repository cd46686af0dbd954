#include "packets/newer_configuration.h"

#include <algorithm>

namespace anvildrum::packets {
namespace {

using Source = ConfigurationSource;

// Questions for a newer configuration, after which the regular reads tell what there is.
constexpr auto kMaxRequests = 8U;

// Questions that go to copies of the platform's state first, which are cheaper and may be behind.
constexpr auto kMaxCopyRequests = 2U;

// Seeds tell all others: what they have is not to be late by the age of a copy. A copy that is
// behind sends all of its bytes for nothing: where these took long, none is asked again.
auto CopyRequests(const NewerConfiguration& newer, const ConfigurationRequestContext& basis)
    -> unsigned {
  if (basis.is_seed) return 0;
  return newer.first_answer_was_slow ? 1 : kMaxCopyRequests;
}

// Whom the n-th question goes to, from 1. After the copies the platform itself, since all others
// hear of the new version from a few balancers at the same moment, and serving them would fill the
// links of these.
auto SourceOf(unsigned ask, unsigned copies) -> Source {
  if (ask <= copies) return Source::kCopy;
  return (ask - copies) % 2 == 1 ? Source::kPlatform : Source::kBalancer;
}

// The same of a balancer that the platform has turned away.
//
// Safeguard: it would ask the platform several times for each version, in vain, and a refused call
// costs as much as an answered one.
auto SourceWhileRejected(unsigned ask) -> Source {
  return ask % 4 == 0 ? Source::kCopy : Source::kBalancer;
}

// How long the platform and other balancers are asked alone: either answers within some
// milliseconds where it can, and has the newest.
constexpr auto kAskAgentsAfter = base::milliseconds{500};

// From when on an older configuration is better than none: whoever has a newer one may have gone.
constexpr auto kTakeOlderAfter = base::milliseconds{1500};

}  // namespace

auto NoteNewer(std::optional<NewerConfiguration>& newer, Address holder, std::uint64_t revision,
               std::uint64_t own_revision) -> bool {
  if (revision <= own_revision) return false;
  if (newer && revision < newer->revision) return false;
  if (newer && revision == newer->revision) {
    newer->holder = holder;
    return false;
  }
  newer = NewerConfiguration{.holder = holder, .revision = revision};
  return true;
}

auto NextConfigurationSource(std::optional<NewerConfiguration>& newer,
                             const ConfigurationRequestContext& basis, base::TimePoint now)
    -> std::optional<ConfigurationSource> {
  if (newer && newer->revision <= basis.revision) newer.reset();
  if (!newer || now - newer->asked_at < basis.every) return std::nullopt;
  if (basis.answer_coming) {
    if (newer->requests == 1) newer->first_answer_was_slow = true;
    return std::nullopt;
  }
  // The one that said so may have gone, and the platform may have been set back to an older state.
  if (++newer->requests > kMaxRequests) {
    newer.reset();
    return std::nullopt;
  }
  newer->asked_at = now;
  if (basis.turned_away) return SourceWhileRejected(newer->requests);
  return SourceOf(newer->requests, CopyRequests(*newer, basis));
}

auto NoteKeptConfiguration(KeptConfigurations& kept, std::uint64_t revision,
                           base::Duration running_for) -> bool {
  kept.newest = std::max(kept.newest, revision);
  if (revision == 0 || running_for < kAskAgentsAfter) return false;
  return revision == kept.newest || running_for >= kTakeOlderAfter;
}

}  // namespace anvildrum::packets
