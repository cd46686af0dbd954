#include "admission/active_priorities.h"

#include <boost/test/unit_test.hpp>
#include <utility>

namespace anvildrum::admission {
namespace {

using base::milliseconds;

constexpr auto kStart = base::TimePoint{base::seconds{1000}};
using Range = std::pair<Priority, Priority>;

BOOST_AUTO_TEST_SUITE(active_priorities)

auto NoteMany(ActivePriorities& active, Priority priority, int count, base::TimePoint now) -> void {
  for (auto i = 0; i < count; ++i) NoteOpening(active, priority, now);
}

BOOST_AUTO_TEST_CASE(no_opening_gives_a_single_priority) {
  BOOST_TEST((RangeOf(ActivePriorities{}, kStart) == Range{0, 0}));
}

BOOST_AUTO_TEST_CASE(the_most_urgent_common_priority_goes_first) {
  auto active = ActivePriorities{};
  NoteMany(active, 2, 60, kStart);
  NoteMany(active, 1, 30, kStart + milliseconds{10});
  BOOST_TEST((RangeOf(active, kStart) == Range{1, 2}));
}

// Guards against rare requests of a high priority, next to which all common requests would be less
// urgent.
BOOST_AUTO_TEST_CASE(a_rare_priority_leaves_the_common_ones_in_order) {
  auto active = ActivePriorities{};
  NoteMany(active, 0, 1, kStart);
  NoteMany(active, 1, 30, kStart);
  NoteMany(active, 2, 60, kStart);
  BOOST_TEST((RangeOf(active, kStart) == Range{1, 2}));
}

// Guards against capacity that stays reserved for requests which no longer arrive.
BOOST_AUTO_TEST_CASE(a_priority_without_openings_is_forgotten) {
  auto active = ActivePriorities{};
  NoteMany(active, 0, 100, kStart);
  for (auto at = kStart; at <= kStart + milliseconds{2500}; at += milliseconds{50}) {
    NoteMany(active, 3, 1, at);
    NoteMany(active, 5, 1, at);
  }
  BOOST_TEST((RangeOf(active, kStart + milliseconds{2500}) == Range{3, 5}));
  BOOST_TEST((RangeOf(active, kStart + milliseconds{8000}) == Range{0, 0}));
  NoteOpening(active, 5, kStart + milliseconds{9000});
  BOOST_TEST((RangeOf(active, kStart + milliseconds{9000}) == Range{5, 5}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::admission
