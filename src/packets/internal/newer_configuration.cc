#include "packets/newer_configuration.h"

#include <algorithm>

namespace anvildrum::packets {
namespace {

using Source = ConfigurationSource;

// Maximum number of requests for a newer configuration. After these, only the regular reads follow.
constexpr auto kMaxRequests = 8U;

// Number of first requests that go to copies of the platform's state, which are cheaper to read but
// may be out of date.
constexpr auto kMaxCopyRequests = 2U;

// Returns how many requests go to copies. A seed asks none, since it informs all other balancers
// and must not lag by the age of a copy. An outdated copy wastes all the bytes that it sends, so
// that no second one is asked if the first answer took long.
auto CopyRequests(const NewerConfiguration& newer, const ConfigurationRequestContext& basis)
    -> unsigned {
  if (basis.is_seed) return 0;
  return newer.first_answer_was_slow ? 1 : kMaxCopyRequests;
}

// Returns the source of the n-th request, counted from 1. After the copies comes the platform
// itself, since all balancers learn of the new version from a few others at the same moment, and
// serving everyone would fill the links of those few.
auto SourceOf(unsigned ask, unsigned copies) -> Source {
  if (ask <= copies) return Source::kCopy;
  return (ask - copies) % 2 == 1 ? Source::kPlatform : Source::kBalancer;
}

// Returns the source of the n-th request of a balancer that the platform rejects.
//
// Safeguard: such a balancer would ask the platform in vain several times for each version, and a
// refused call costs as much as an answered one.
auto SourceWhileRejected(unsigned ask) -> Source {
  return ask % 4 == 0 ? Source::kCopy : Source::kBalancer;
}

// Time after the start during which only the platform and other balancers are asked: either answers
// within some milliseconds if it can, and has the newest configuration.
constexpr auto kAskAgentsAfter = base::milliseconds{500};

// Time after the start from which an older configuration is accepted, because the instance with a
// newer one may have gone.
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
  // The holder may have gone, and the platform may have been restored to an older state.
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
