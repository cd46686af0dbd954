#include "scenario/announcer.h"

#include <utility>

#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

using platform::Object;
using platform::WriteIntent;
using platform::WriteProposal;

auto Policy() -> platform::WritePolicy {
  auto policy = platform::WritePolicy{};
  policy.backoff = {base::milliseconds(100), base::seconds(10)};
  policy.max_calls = 64;
  policy.deadline = base::minutes(5);
  return policy;
}

auto StandsOn(const Announcer& announcer, const Object& current) -> bool {
  return announcer.provisional == current.revision;
}

auto Propose(Announcer& announcer, const std::optional<Object>& current) -> WriteProposal {
  if (current && current->value == announcer.written) return {WriteIntent::kDone, {}};
  auto recorded = current ? announcer.incarnation_of(current->value) : base::Incarnation{0};
  auto ours = recorded == announcer.incarnation;
  if (!ours && recorded >= announcer.incarnation) announcer.incarnation = recorded + 1;
  if (!current && announcer.settled) ++announcer.incarnation;
  if (!ours && announcer.provisional && !(current && StandsOn(announcer, *current))) {
    ++announcer.incarnation;
    announcer.provisional.reset();
  }
  announcer.written = announcer.compose(announcer.incarnation);
  return {WriteIntent::kPut, announcer.written};
}

auto ProposeDelete(const Announcer& announcer, const std::optional<Object>& current)
    -> WriteProposal {
  if (!current) return {WriteIntent::kDone, {}};
  auto ours = announcer.incarnation_of(current->value) == announcer.incarnation ||
              StandsOn(announcer, *current);
  return {ours ? WriteIntent::kDelete : WriteIntent::kAbandon, {}};
}

auto Finish(Announcer& announcer, const platform::WriteResult& result) -> void {
  announcer.writing = false;
  if (result.verdict != platform::WriteVerdict::kTook) return Announce(announcer);
  announcer.settled = true;
  announcer.provisional.reset();
  announcer.on_announced(announcer.incarnation, result.revision);
  if (!std::exchange(announcer.again, false)) return;
  Announce(announcer);
}

}  // namespace

auto Announce(Announcer& announcer) -> void {
  if (announcer.withdrawn) return;
  if (announcer.writing) {
    announcer.again = true;
    return;
  }
  announcer.writing = true;
  announcer.written.clear();
  RunWrite(
      *announcer.world, announcer.process, announcer.key,
      [&announcer](const auto& current) { return Propose(announcer, current); }, Policy(),
      announcer.seed++, [&announcer](const auto& result) { Finish(announcer, result); });
}

auto Recorded(Announcer& announcer, const std::string* text) -> void {
  if (!announcer.settled || announcer.writing || announcer.withdrawn) return;
  if (text == nullptr) Announce(announcer);
}

auto Withdraw(Announcer& announcer, std::function<void()> done) -> void {
  announcer.withdrawn = true;
  RunWrite(
      *announcer.world, announcer.process, announcer.key,
      [&announcer](const auto& current) { return ProposeDelete(announcer, current); }, Policy(),
      announcer.seed++, [done = std::move(done)](const auto&) { done(); });
}

}  // namespace anvildrum::scenario
