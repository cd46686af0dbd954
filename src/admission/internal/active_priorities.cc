#include "admission/active_priorities.h"

#include <algorithm>

namespace anvildrum::admission {
namespace {

// Length of a generation. A target in a shortage receives dozens of openings in this time.
constexpr auto kGeneration = base::seconds{1};

// One in this many openings has to be urgent, so that capacity is kept for urgent ones. Fewer find
// capacity beside the others. The share is small, since less urgent openings that are refused come
// again and make up most of the openings.
constexpr auto kOpeningsPerUrgent = 50U;

auto Sum(const ActivePriorities::Entry& entry) -> std::uint32_t {
  return entry.openings[0] + entry.openings[1];
}

auto BeginGeneration(ActivePriorities& active, base::TimePoint now) -> void {
  const auto expired = now - active.began_at >= 2 * kGeneration;
  for (auto& entry : active.entries) entry.openings = {0, expired ? 0 : entry.openings[0]};
  std::erase_if(active.entries, [](const auto& entry) { return Sum(entry) == 0; });
  active.total = 0;
  for (const auto& entry : active.entries) active.total += Sum(entry);
  active.began_at = now;
}

}  // namespace

auto NoteOpening(ActivePriorities& active, Priority priority, base::TimePoint now) -> void {
  if (now - active.began_at >= kGeneration) BeginGeneration(active, now);
  auto& entries = active.entries;
  const auto before = [](const ActivePriorities::Entry& entry, Priority wanted) {
    return entry.priority < wanted;
  };
  auto entry = std::lower_bound(entries.begin(), entries.end(), priority, before);
  if (entry == entries.end() || entry->priority != priority) {
    entry = entries.insert(entry, {priority, {}});
  }
  ++entry->openings[0];
  ++active.total;
}

auto RangeOf(const ActivePriorities& active, base::TimePoint now) -> std::pair<Priority, Priority> {
  if (active.entries.empty() || now - active.began_at >= 2 * kGeneration) return {};
  auto urgent = std::uint32_t{0};
  const auto last_urgent =
      std::find_if(active.entries.begin(), active.entries.end(), [&](const auto& entry) {
        urgent += Sum(entry);
        return urgent * kOpeningsPerUrgent >= active.total;
      });
  return {last_urgent->priority, active.entries.back().priority};
}

}  // namespace anvildrum::admission
