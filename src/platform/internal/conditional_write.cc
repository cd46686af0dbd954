#include "platform/conditional_write.h"

#include <algorithm>
#include <utility>

namespace anvildrum::platform {
namespace {

auto Finish(const ConditionalWrite& write, WriteVerdict verdict, std::uint64_t revision)
    -> WriteEffects {
  auto effects = WriteEffects{};
  effects.done = WriteResult{verdict, revision, write.current, write.last_error};
  return effects;
}

// An attempt that is still open may win later, so that "not taken" would be a lie.
auto GiveUp(const ConditionalWrite& write) -> WriteEffects {
  auto verdict = write.open.empty() ? WriteVerdict::kNotTaken : WriteVerdict::kUnknown;
  return Finish(write, verdict, 0);
}

auto IsSpent(const ConditionalWrite& write, base::TimePoint now) -> bool {
  return write.calls >= write.policy.max_calls || now - write.started >= write.policy.deadline;
}

auto WaitThenRead(ConditionalWrite& write, base::TimePoint now) -> WriteEffects {
  if (IsSpent(write, now)) return GiveUp(write);
  auto effects = WriteEffects{};
  effects.wait = NextDelay(write.backoff);
  return effects;
}

auto Read(ConditionalWrite& write, base::TimePoint now) -> WriteEffects {
  if (IsSpent(write, now)) return GiveUp(write);
  ++write.calls;
  auto effects = WriteEffects{};
  effects.read = true;
  return effects;
}

auto Write(ConditionalWrite& write, std::optional<std::string> value, base::TimePoint now)
    -> WriteEffects {
  if (IsSpent(write, now)) return GiveUp(write);
  ++write.calls;
  auto precondition = Precondition{IfAbsent{}};
  if (write.current) precondition = IfMatch{write.current->revision};
  write.attempted = precondition;
  auto effects = WriteEffects{};
  effects.write = WriteCall{std::move(value), precondition};
  return effects;
}

// Strikes out the attempts that can never take effect on what was read: a revision that is gone
// does not come back.
auto CloseAttempts(ConditionalWrite& write) -> void {
  auto is_void = [&current = write.current](const Precondition& precondition) {
    const auto* match = std::get_if<IfMatch>(&precondition);
    if (match == nullptr) return current.has_value();
    return !current || current->revision != match->revision;
  };
  std::erase_if(write.open, is_void);
}

auto Decide(ConditionalWrite& write, base::TimePoint now) -> WriteEffects {
  auto proposal = write.propose(write.current);
  auto revision = write.current ? write.current->revision : 0;
  switch (proposal.intent) {
    case WriteIntent::kDone:
      return Finish(write, WriteVerdict::kTook, revision);
    case WriteIntent::kAbandon:
      return GiveUp(write);
    case WriteIntent::kDelete:
      if (!write.current) return Finish(write, WriteVerdict::kTook, 0);
      return Write(write, std::nullopt, now);
    case WriteIntent::kPut:
      break;
  }
  return Write(write, std::move(proposal.value), now);
}

auto FindKey(const Listing& listing, std::string_view key) -> std::optional<Object> {
  auto is_key = [key](const Object& object) { return object.key == key; };
  auto found = std::find_if(listing.items.begin(), listing.items.end(), is_key);
  if (found == listing.items.end()) return std::nullopt;
  return *found;
}

auto OnRead(ConditionalWrite& write, const Outcome<Listing>& outcome, base::TimePoint now)
    -> WriteEffects {
  if (const auto* error = std::get_if<PlatformError>(&outcome)) {
    write.last_error = *error;
    return WaitThenRead(write, now);
  }
  const auto& listing = std::get<Listing>(outcome);
  if (listing.revision < write.newest) {
    ++write.older_refused;
    return WaitThenRead(write, now);
  }
  write.newest = listing.revision;
  write.current = FindKey(listing, write.key);
  CloseAttempts(write);
  return Decide(write, now);
}

auto IsFinal(PlatformErrorCode code) -> bool {
  return code == PlatformErrorCode::kTooLarge || code == PlatformErrorCode::kRefused;
}

auto OnWritten(ConditionalWrite& write, const Outcome<std::uint64_t>& outcome, base::TimePoint now)
    -> WriteEffects {
  if (const auto* revision = std::get_if<std::uint64_t>(&outcome)) {
    return Finish(write, WriteVerdict::kTook, *revision);
  }
  const auto& error = std::get<PlatformError>(outcome);
  write.last_error = error;
  if (IsFinal(error.code)) return GiveUp(write);
  if (MayHaveTaken(error.code)) write.open.push_back(write.attempted);
  return WaitThenRead(write, now);
}

}  // namespace

auto MakeConditionalWrite(std::string_view key, Propose propose, const WritePolicy& policy,
                          std::uint64_t seed) -> ConditionalWrite {
  auto write = ConditionalWrite{};
  write.key = key;
  write.propose = std::move(propose);
  write.policy = policy;
  write.backoff = MakeBackoff(policy.backoff, seed);
  return write;
}

auto Begin(ConditionalWrite& write, base::TimePoint now) -> WriteEffects {
  write.started = now;
  return Read(write, now);
}

auto Step(ConditionalWrite& write, const WriteEvent& event, base::TimePoint now) -> WriteEffects {
  if (const auto* read = std::get_if<ReadAnswered>(&event)) {
    return OnRead(write, read->outcome, now);
  }
  if (const auto* written = std::get_if<WriteAnswered>(&event)) {
    return OnWritten(write, written->outcome, now);
  }
  return Read(write, now);
}

}  // namespace anvildrum::platform
