#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

#include "platform/conditional_write.h"

namespace anvildrum::platform {
namespace {

constexpr auto kSeeds = 5000;
constexpr auto kWriters = std::size_t{3};
constexpr auto kStepTime = base::milliseconds(50);

/// An object whose value is the list of the writers' marks, one character each, and writes that
/// were answered with a loss and land later.
struct Model {
  std::mt19937_64 random;
  std::uint64_t revision = 0;
  std::vector<std::string> versions{""};  ///< value at each revision; 0: absent
  std::deque<WriteCall> late{};
};

auto Draw(Model& model, unsigned sides) -> unsigned { return model.random() % sides; }

auto Apply(Model& model, const WriteCall& call) -> bool {
  const auto* match = std::get_if<IfMatch>(&call.precondition);
  auto holds = match != nullptr ? match->revision == model.revision : model.revision == 0;
  if (!holds) return false;
  model.versions.push_back(*call.value);
  ++model.revision;
  return true;
}

auto AnswerRead(Model& model) -> ReadAnswered {
  if (Draw(model, 5) == 0) return {PlatformError{PlatformErrorCode::kServerError, 500, "k"}};
  auto lag = Draw(model, 4) == 0 ? Draw(model, 3) : 0U;
  auto revision = model.revision - std::min<std::uint64_t>(lag, model.revision);
  if (revision == 0) return {Listing{0, {}}};
  return {Listing{revision, {Object{"k", revision, false, model.versions[revision]}}}};
}

auto AnswerWrite(Model& model, const WriteCall& call) -> WriteAnswered {
  enum Fault : unsigned { kLostAnswer, kLandsLate, kNeverSent, kFalseConflict, kFaults };
  auto fault = Draw(model, kFaults + 2);
  if (fault == kNeverSent) return {PlatformError{PlatformErrorCode::kUnreachable, 0, "k"}};
  if (fault == kLandsLate) {
    model.late.push_back(call);
    return {PlatformError{PlatformErrorCode::kTimeout, 0, "k"}};
  }
  auto took = Apply(model, call);
  if (fault == kLostAnswer) return {PlatformError{PlatformErrorCode::kAnswerLost, 0, "k"}};
  if (!took || fault == kFalseConflict) {
    return {PlatformError{PlatformErrorCode::kConflict, 412, "k"}};
  }
  return {model.revision};
}

auto LandOne(Model& model) -> void {
  if (model.late.empty()) return;
  Apply(model, model.late.front());
  model.late.pop_front();
}

struct Writer {
  char mark = 'a';
  ConditionalWrite write;
  WriteEffects effects;
};

auto MakeWriter(char mark, std::uint64_t seed) -> Writer {
  auto propose = [mark](const std::optional<Object>& current) -> WriteProposal {
    auto value = current ? current->value : std::string{};
    if (value.find(mark) != std::string::npos) return {WriteIntent::kDone, ""};
    return {WriteIntent::kPut, value + mark};
  };
  return {mark, MakeConditionalWrite("k", propose, {}, seed), {}};
}

auto Advance(Model& model, Writer& writer, base::TimePoint now) -> void {
  const auto& effects = writer.effects;
  if (effects.done) return;
  if (effects.read) {
    writer.effects = Step(writer.write, AnswerRead(model), now);
  } else if (effects.write) {
    writer.effects = Step(writer.write, AnswerWrite(model, *effects.write), now);
  } else {
    writer.effects = Step(writer.write, WriteTimerFired{}, now);
  }
}

auto IsTrue(const Model& model, const Writer& writer) -> bool {
  const auto& value = model.versions.back();
  auto marks = std::count(value.begin(), value.end(), writer.mark);
  switch (writer.effects.done->verdict) {
    case WriteVerdict::kTook:
      return marks == 1;
    case WriteVerdict::kNotTaken:
      return marks == 0;
    case WriteVerdict::kUnknown:
      return marks <= 1;
  }
  return false;
}

// Three operators patch the same object while answers get lost, writes land late, conflicts are
// false and reads lag, in every order that the seeds draw. Nobody's patch is in force twice, none
// that took is reported as refused, and none that was reported as in force is missing.
BOOST_AUTO_TEST_CASE(verdicts_are_true_and_no_write_takes_effect_twice) {
  auto verdicts = std::array<int, 3>{};
  for (auto seed = 0; seed < kSeeds; ++seed) {
    auto model = Model{std::mt19937_64(seed)};
    auto writers = std::vector<Writer>{};
    auto now = base::TimePoint{base::hours(1)};
    for (auto i = std::size_t{0}; i < kWriters; ++i) {
      writers.push_back(MakeWriter(static_cast<char>('a' + i), seed * kWriters + i));
      writers.back().effects = Begin(writers.back().write, now);
    }
    auto running = [](const Writer& writer) { return !writer.effects.done; };
    while (std::any_of(writers.begin(), writers.end(), running)) {
      now += kStepTime;
      if (Draw(model, 8) == 0) LandOne(model);
      Advance(model, writers[Draw(model, kWriters)], now);
    }
    while (!model.late.empty()) LandOne(model);
    for (const auto& writer : writers) {
      BOOST_REQUIRE_MESSAGE(IsTrue(model, writer), "seed " << seed << " writer " << writer.mark);
      ++verdicts[static_cast<std::size_t>(writer.effects.done->verdict)];
    }
  }
  BOOST_TEST(verdicts[0] > 0);
  BOOST_TEST_MESSAGE("took " << verdicts[0] << ", not taken " << verdicts[1] << ", unknown "
                             << verdicts[2]);
}

}  // namespace
}  // namespace anvildrum::platform
