#include "relay/internal/platform.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "relay/internal/apply.h"

namespace anvildrum::relay {
namespace {

/// First polls are spread over this much of a balancer's, or of an agent's, poll interval.
constexpr int kBalancerFirstPollShare = 15;
constexpr int kAgentFirstPollShare = 5;
constexpr base::Duration kWatchStartJitter = base::milliseconds(200);
constexpr base::Duration kHistoryGoneJitter = base::seconds(5);
constexpr std::uint32_t kDoublingsMost = 10;

auto Uniform(State& state, base::Duration from, base::Duration to) -> base::Duration {
  std::uniform_int_distribution<base::Duration::rep> draw(from.count(), to.count());
  return base::Duration(draw(state.random));
}

/// Around a mean: instances that were started together drift apart.
auto Around(State& state, base::Duration mean) -> base::Duration {
  return Uniform(state, mean / 2, mean + mean / 2);
}

/// Doubles from `retry_first` with each failure, then spread over its upper half.
auto Backoff(State& state, std::uint32_t failures, base::Duration most) -> base::Duration {
  const std::uint32_t doublings = std::min(failures, kDoublingsMost);
  const base::Duration full = state.settings.policy.retry_first * (1U << doublings);
  const base::Duration bounded = std::min(full, most);
  return Uniform(state, bounded / 2, bounded);
}

auto PollInterval(const State& state) -> base::Duration {
  const RelayPolicy& policy = state.settings.policy;
  const bool is_agent = state.settings.role == RelayRole::kAgent;
  return is_agent ? policy.agent_poll_interval : policy.poll_interval;
}

auto StartWatching(State& state, base::Duration delay, base::TimePoint now, Effects& effects)
    -> void {
  state.watch.active = true;
  state.watch.after = state.store.horizon;
  state.watch.started_at = now + delay;
  state.watch.answer_begun = false;
  ++state.counters.watches_started;
  effects.emplace_back(StartWatch{
      .after = state.watch.after, .delay = delay, .timeout = state.settings.policy.watch_timeout});
}

auto StopWatching(State& state, Effects& effects) -> void {
  if (!state.watch.active) return;
  state.watch.active = false;
  effects.emplace_back(StopWatch{});
}

/// Failure: the platform takes a watch and never answers. Symptom: changes are missed in silence.
/// A platform in health answers by the timeout that the call itself names. All watches may hang at
/// once, and the next ones too, so that the configuration is read beside them: it has a bound.
///
/// One whose answer has begun is not hung: given up, it would be asked for again beside itself,
/// over the same link.
auto EndHungCalls(State& state, base::TimePoint now, Effects& effects) -> void {
  const RelayPolicy& policy = state.settings.policy;
  const base::Duration most = policy.watch_timeout + policy.watch_grace;
  const auto is_hung = [&](const auto& call) {
    return call.active && !call.answer_begun && now - call.started_at > most;
  };
  if (is_hung(state.watch)) {
    StopWatching(state, effects);
    ++state.counters.watches_hung;
    const base::Duration spread = state.settings.policy.hung_read_spread;
    effects.emplace_back(ReadConfiguration{Uniform(state, base::Duration::zero(), spread)});
  }
  if (is_hung(state.poll)) {
    state.poll.active = false;
    ++state.poll.failures;
    ++state.counters.polls_failed;
  }
}

auto TickWatch(State& state, base::TimePoint now, Effects& effects) -> void {
  if (!state.root) return StopWatching(state, effects);
  if (!state.store.complete || state.watch.active) return;
  const bool is_retry = state.watch.failures > 0;
  const base::Duration delay =
      is_retry ? Backoff(state, state.watch.failures - 1, state.settings.policy.retry_most)
               : Uniform(state, base::Duration::zero(), kWatchStartJitter);
  StartWatching(state, delay, now, effects);
}

/// Neither a root nor in hearing of one.
auto IsIsolated(const State& state, base::TimePoint now) -> bool {
  return !state.root && now - state.rooted_at > state.settings.policy.poll_after;
}

auto TickPoll(State& state, base::TimePoint now, Effects& effects) -> void {
  const bool is_needed = !state.store.complete || IsIsolated(state, now);
  const bool is_relist = state.root && state.store.complete && now >= state.poll.relist_at;
  if (is_relist) {
    state.poll.relist_at = now + Around(state, state.settings.policy.relist_interval);
    return StartPoll(state, base::Duration::zero(), now, effects);
  }
  if (!is_needed) {
    state.poll.next.reset();
    return;
  }
  if (!state.poll.next.has_value()) {
    state.poll.next = now + Uniform(state, base::Duration::zero(), PollInterval(state));
  }
  if (now < *state.poll.next) return;
  const base::Duration rest =
      state.store.complete || state.settings.role == RelayRole::kAgent
          ? PollInterval(state)
          : Backoff(state, state.poll.failures + 1, state.settings.policy.poll_interval);
  state.poll.next = now + Around(state, rest);
  StartPoll(state, base::Duration::zero(), now, effects);
}

}  // namespace

auto PlanFirstPoll(State& state, base::TimePoint now) -> void {
  const RelayPolicy& policy = state.settings.policy;
  const bool is_agent = state.settings.role == RelayRole::kAgent;
  const base::Duration spread =
      PollInterval(state) / (is_agent ? kAgentFirstPollShare : kBalancerFirstPollShare);
  const base::Duration wait =
      state.settings.seeds.empty() ? base::Duration::zero() : policy.seed_wait;
  const base::Duration jitter = state.settings.seeds.empty()
                                    ? base::Duration::zero()
                                    : Uniform(state, base::Duration::zero(), spread);
  state.poll.next = now + wait + jitter;
  state.poll.relist_at = now + Around(state, policy.relist_interval);
}

auto TickPlatform(State& state, base::TimePoint now, Effects& effects) -> void {
  EndHungCalls(state, now, effects);
  TickWatch(state, now, effects);
  TickPoll(state, now, effects);
}

auto StartPoll(State& state, base::Duration delay, base::TimePoint now, Effects& effects) -> void {
  if (state.poll.active) return;
  state.poll.active = true;
  state.poll.started_at = now + delay;
  state.poll.answer_begun = false;
  ++state.counters.polls_started;
  effects.emplace_back(PollPlatform{.delay = delay});
}

auto OnObjects(State& state, const PlatformObjects& event, base::TimePoint now, Effects& effects)
    -> void {
  std::vector<Incoming> records;
  records.reserve(event.objects.size());
  for (const PlatformObject& object : event.objects) records.push_back({.object = object});
  const Claim claim{.base = state.watch.after,
                    .revision = event.revision,
                    .complete = event.complete,
                    .from = {}};
  if (event.complete) {
    state.poll.active = false;
    state.poll.failures = 0;
  } else {
    state.watch.active = false;
    state.watch.failures = 0;
  }
  Apply(state, records, claim, now, effects);
  if (!event.complete && state.root) StartWatching(state, base::Duration::zero(), now, effects);
}

auto OnConfigurationRead(State& state, const ConfigurationRead& event, base::TimePoint now,
                         Effects& effects) -> void {
  const Incoming incoming{.object = event.configuration};
  Apply(state, {&incoming, 1}, Claim{}, now, effects);
}

auto OnFailed(State& state, const PlatformFailed& event, base::TimePoint now, Effects& effects)
    -> void {
  if (event.call == PlatformCall::kPoll) {
    state.poll.active = false;
    ++state.poll.failures;
    ++state.counters.polls_failed;
    return;
  }
  state.watch.active = false;
  ++state.watch.failures;
  ++state.counters.watches_failed;
  if (!event.history_gone) return;
  StartPoll(state, Uniform(state, base::Duration::zero(), kHistoryGoneJitter), now, effects);
}

auto OnAnswerBegun(State& state, const AnswerBegun& event) -> void {
  if (event.call == PlatformCall::kPoll) {
    state.poll.answer_begun = true;
  } else {
    state.watch.answer_begun = true;
  }
}

auto StopPlatform(State& state, Effects& effects) -> void { StopWatching(state, effects); }

}  // namespace anvildrum::relay
