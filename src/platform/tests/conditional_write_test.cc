#include "platform/conditional_write.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::platform {
namespace {

constexpr auto kNow = base::TimePoint{base::hours(1)};
const auto kMine = std::string(R"("mine")");

auto At(std::uint64_t revision, std::string value) -> ReadAnswered {
  auto other = Object{"config2", revision, false, kMine};
  return {Listing{revision, {Object{"config", revision, false, std::move(value)}, other}}};
}

auto AbsentAt(std::uint64_t revision) -> ReadAnswered { return {Listing{revision, {}}}; }

auto Failed(PlatformErrorCode code) -> PlatformError { return {code, 0, "config"}; }

// Puts its value over the objects it knows, and gives way to anybody else's.
auto ProposeOver(std::string known) -> Propose {
  return [known = std::move(known)](const std::optional<Object>& current) -> WriteProposal {
    if (current && current->value == kMine) return {WriteIntent::kDone, ""};
    if (current && current->value != known) return {WriteIntent::kAbandon, ""};
    return {WriteIntent::kPut, kMine};
  };
}

auto MakeWrite(Propose propose = ProposeOver("0")) -> ConditionalWrite {
  return MakeConditionalWrite("config", std::move(propose), {}, 1);
}

// Reads revision 4 and sends the first attempt.
auto SendFirst(ConditionalWrite& write) -> WriteEffects {
  BOOST_REQUIRE(Begin(write, kNow).read);
  return Step(write, At(4, "0"), kNow);
}

// The first attempt ends with `code`; the object is read again.
auto FailFirst(ConditionalWrite& write, PlatformErrorCode code) -> void {
  BOOST_REQUIRE(SendFirst(write).write.has_value());
  BOOST_REQUIRE(Step(write, WriteAnswered{Failed(code)}, kNow).wait.has_value());
  BOOST_REQUIRE(Step(write, WriteTimerFired{}, kNow).read);
}

auto VerdictOf(const WriteEffects& effects) -> std::optional<WriteVerdict> {
  if (!effects.done) return std::nullopt;
  return effects.done->verdict;
}

BOOST_AUTO_TEST_CASE(a_write_carries_the_revision_that_was_read) {
  auto write = MakeWrite();
  auto sent = SendFirst(write).write;
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<IfMatch>(sent->precondition).revision == 4U);
  auto effects = Step(write, WriteAnswered{std::uint64_t{5}}, kNow);
  BOOST_CHECK(VerdictOf(effects) == WriteVerdict::kTook);
  BOOST_TEST(effects.done->revision == 5U);
}

BOOST_AUTO_TEST_CASE(where_there_is_no_object_one_is_created) {
  auto write = MakeWrite();
  Begin(write, kNow);
  auto sent = Step(write, AbsentAt(5), kNow).write;
  BOOST_REQUIRE(sent.has_value());
  BOOST_CHECK(std::holds_alternative<IfAbsent>(sent->precondition));
}

// The operator waits for an answer that never comes. The patch took effect, its answer was lost,
// or a conflict was answered to a write that took. The re-read finds the writer's own mark, so the
// operator hears that it took, and it is not applied again.
BOOST_AUTO_TEST_CASE(a_lost_or_false_answer_is_settled_by_the_own_mark) {
  for (auto code : {PlatformErrorCode::kAnswerLost, PlatformErrorCode::kConflict,
                    PlatformErrorCode::kTimeout, PlatformErrorCode::kServerError}) {
    auto write = MakeWrite();
    FailFirst(write, code);
    auto effects = Step(write, At(5, kMine), kNow);
    BOOST_CHECK(VerdictOf(effects) == WriteVerdict::kTook);
    BOOST_TEST(!effects.write.has_value());
  }
}

// The answer is lost together with the write. The revision has not moved, so a second attempt on
// the same revision is safe: of both, at most one can win.
BOOST_AUTO_TEST_CASE(a_lost_write_is_tried_again_on_the_same_revision) {
  auto write = MakeWrite();
  FailFirst(write, PlatformErrorCode::kAnswerLost);
  auto sent = Step(write, At(4, "0"), kNow).write;
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<IfMatch>(sent->precondition).revision == 4U);
}

// Two operators race and the other one wins. This one is told that its change is not in force and
// which object won.
BOOST_AUTO_TEST_CASE(the_loser_of_a_race_is_told_who_won) {
  auto write = MakeWrite();
  FailFirst(write, PlatformErrorCode::kConflict);
  auto effects = Step(write, At(5, R"("theirs")"), kNow);
  BOOST_CHECK(VerdictOf(effects) == WriteVerdict::kNotTaken);
  BOOST_TEST(effects.done->current->revision == 5U);
}

// The writer loses interest while its first attempt may still be on its way: the revision it was
// sent for stands. "Not taken" could turn out false a moment later, so the verdict is unknown.
BOOST_AUTO_TEST_CASE(an_open_attempt_is_never_called_not_taken) {
  auto calls = 0;
  auto propose = [&calls](const std::optional<Object>&) -> WriteProposal {
    return {calls++ == 0 ? WriteIntent::kPut : WriteIntent::kAbandon, kMine};
  };
  auto write = MakeWrite(propose);
  FailFirst(write, PlatformErrorCode::kTimeout);
  BOOST_CHECK(VerdictOf(Step(write, At(4, "0"), kNow)) == WriteVerdict::kUnknown);
}

// After a lost answer a lagging replica offers the object from before the first read. Believing it
// would send a write that can only fail, or hide the own mark; it is read again instead.
BOOST_AUTO_TEST_CASE(a_read_older_than_the_last_one_is_refused) {
  auto write = MakeWrite();
  FailFirst(write, PlatformErrorCode::kAnswerLost);
  auto effects = Step(write, At(3, "0"), kNow);
  BOOST_TEST(effects.wait.has_value());
  BOOST_TEST(write.older_refused == 1U);
}

// The platform answers 500 to everything. The writer stops after its limit of calls, and since an
// attempt may have taken effect it says so.
BOOST_AUTO_TEST_CASE(endless_failures_end_in_unknown_within_the_limit_of_calls) {
  auto write = MakeWrite();
  auto effects = SendFirst(write);
  while (!effects.done) {
    BOOST_REQUIRE(write.calls <= write.policy.max_calls);
    if (effects.wait) effects = Step(write, WriteTimerFired{}, kNow);
    if (effects.read) effects = Step(write, At(4, "0"), kNow);
    if (effects.write) {
      effects = Step(write, WriteAnswered{Failed(PlatformErrorCode::kServerError)}, kNow);
    }
  }
  BOOST_CHECK(VerdictOf(effects) == WriteVerdict::kUnknown);
}

BOOST_AUTO_TEST_CASE(a_platform_that_was_never_reached_took_nothing) {
  auto write = MakeWrite();
  Begin(write, kNow);
  auto late = kNow + write.policy.deadline;
  auto effects = Step(write, ReadAnswered{Failed(PlatformErrorCode::kUnreachable)}, late);
  BOOST_CHECK(VerdictOf(effects) == WriteVerdict::kNotTaken);
  BOOST_CHECK(effects.done->last_error->code == PlatformErrorCode::kUnreachable);
}

BOOST_AUTO_TEST_CASE(a_refused_value_is_not_tried_again) {
  auto write = MakeWrite();
  SendFirst(write);
  auto effects = Step(write, WriteAnswered{Failed(PlatformErrorCode::kTooLarge)}, kNow);
  BOOST_CHECK(VerdictOf(effects) == WriteVerdict::kNotTaken);
}

// The deletion's answer is lost. A lagging replica shows no object either, from before it was made;
// only an absence that is newer than the first read proves the deletion.
BOOST_AUTO_TEST_CASE(a_lost_deletion_is_settled_by_the_absence) {
  auto write = MakeWrite([](const auto&) { return WriteProposal{WriteIntent::kDelete, ""}; });
  auto sent = SendFirst(write).write;
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(!sent->value.has_value());
  Step(write, WriteAnswered{Failed(PlatformErrorCode::kAnswerLost)}, kNow);
  Step(write, WriteTimerFired{}, kNow);
  BOOST_TEST(Step(write, AbsentAt(3), kNow).wait.has_value());
  BOOST_CHECK(VerdictOf(Step(write, AbsentAt(5), kNow)) == WriteVerdict::kTook);
}

}  // namespace
}  // namespace anvildrum::platform
