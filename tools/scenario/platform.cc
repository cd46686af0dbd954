#include "scenario/platform.h"

#include <memory>
#include <utility>

#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

using platform::Listing;
using platform::PlatformError;
using platform::PlatformErrorCode;
namespace store = platform_standin;

constexpr auto kCallDelay = base::milliseconds(3);
constexpr auto kCallTimeout = base::seconds(5);

auto ProcessOf(World& world, const std::string& name) -> Process& {
  return world.processes.at(name);
}

auto IsReached(World& world, const std::string& name) -> bool {
  return !IsCut(world, ProcessOf(world, name), world.processes.at("platform"));
}

auto CountCall(World& world) -> void {
  auto since = world.clock.now - kStart;
  ++world.platform.calls[std::chrono::duration_cast<base::seconds>(since).count()];
}

// Runs `serve` at the platform and its answer in the caller.
template <typename Answer, typename Serve>
auto Call(World& world, const std::string& name, const std::string& key,
          const platform::Callback<Answer>& done, Serve serve,
          base::Duration held = base::Duration{}) -> void {
  CountCall(world);
  auto& caller = ProcessOf(world, name);
  auto fail = [done, key](PlatformErrorCode code) { done(PlatformError{code, 0, key}); };
  if (!IsReached(world, name)) {
    return AfterIn(world.clock, caller, kCallTimeout,
                   [fail] { fail(PlatformErrorCode::kTimeout); });
  }
  auto life = caller.life;
  After(world.clock, kCallDelay + held, [&world, &caller, life, done, fail, serve] {
    if (!world.platform.up) {
      if (caller.life != life) return;
      return AfterIn(world.clock, caller, kCallDelay,
                     [fail] { fail(PlatformErrorCode::kUnreachable); });
    }
    auto answer = serve();
    if (caller.life != life) return;
    AfterIn(world.clock, caller, kCallDelay, [done, answer] { done(answer); });
  });
}

auto ListingOf(const World& world, std::string_view prefix) -> Listing {
  auto listing = Listing{world.platform.store.revision, {}};
  for (const auto& [key, entry] : world.platform.store.objects) {
    if (!key.starts_with(prefix)) continue;
    listing.items.push_back({key, entry.revision, false, *entry.value});
  }
  return listing;
}

auto ChangesOf(const World& world, std::uint64_t after) -> platform::Outcome<Listing> {
  auto changes = store::ChangesAfter(world.platform.store, "", after);
  if (!changes) return PlatformError{PlatformErrorCode::kTooOld, 410, ""};
  auto listing = Listing{world.platform.store.revision, {}};
  for (const auto& change : *changes) {
    auto value = change.after ? *change.after->value : std::string{};
    listing.items.push_back({change.key, change.revision, !change.after, value});
  }
  return listing;
}

auto AnswerWatch(World& world, const FakePlatform::Watch& watch,
                 const platform::Outcome<Listing>& answer) -> void {
  auto& process = ProcessOf(world, watch.process);
  if (process.life != watch.life || !IsReached(world, watch.process)) return;
  AfterIn(world.clock, process, kCallDelay, [done = watch.done, answer] { done(answer); });
}

auto AnswerWatches(World& world) -> void {
  for (const auto& watch : std::exchange(world.platform.watches, {})) {
    AnswerWatch(world, watch, ChangesOf(world, watch.after));
  }
}

auto EndWatch(World& world, std::uint64_t id) -> void {
  auto& watches = world.platform.watches;
  for (auto at = watches.begin(); at != watches.end(); ++at) {
    if (at->id != id) continue;
    AnswerWatch(world, *at, Listing{world.platform.store.revision, {}});
    watches.erase(at);
    return;
  }
}

auto ConditionOf(const platform::Precondition& precondition) -> store::Condition {
  const auto* match = std::get_if<platform::IfMatch>(&precondition);
  if (match == nullptr) return store::IfAbsent{};
  return store::IfRevision{match->revision};
}

auto ErrorOf(World& world, store::WriteResult result, const std::string& key)
    -> std::optional<PlatformError> {
  if (result == store::WriteResult::kNotFound) {
    return PlatformError{PlatformErrorCode::kNotFound, 404, key};
  }
  if (result == store::WriteResult::kConditionFailed) {
    return PlatformError{PlatformErrorCode::kConflict, 412, key};
  }
  AnswerWatches(world);
  if (!Chance(world, world.platform.lost_answers)) return std::nullopt;
  return PlatformError{PlatformErrorCode::kAnswerLost, 0, key};
}

}  // namespace

auto List(World& world, const std::string& process, const std::string& prefix,
          const platform::Callback<Listing>& done) -> void {
  Call<Listing>(world, process, prefix, done, [&world, prefix]() -> platform::Outcome<Listing> {
    return ListingOf(world, prefix);
  });
}

auto Watch(World& world, const std::string& process, std::uint64_t after, base::Duration timeout,
           const platform::Callback<Listing>& done) -> void {
  CountCall(world);
  auto& caller = ProcessOf(world, process);
  auto fail = [done] { done(PlatformError{PlatformErrorCode::kUnreachable, 0, ""}); };
  if (!IsReached(world, process)) return AfterIn(world.clock, caller, kCallTimeout, fail);
  if (!world.platform.up) return AfterIn(world.clock, caller, kCallDelay, fail);
  auto id = world.platform.next_watch++;
  auto watch = FakePlatform::Watch{process, caller.life, after, done, id};
  if (world.platform.store.revision > after) {
    return AnswerWatch(world, watch, ChangesOf(world, after));
  }
  world.platform.watches.push_back(watch);
  After(world.clock, timeout, [&world, id] { EndWatch(world, id); });
}

auto Put(World& world, const std::string& process, const std::string& key, const std::string& value,
         const platform::Precondition& precondition, const platform::Callback<std::uint64_t>& done)
    -> void {
  auto serve = [&world, key, value, precondition]() -> platform::Outcome<std::uint64_t> {
    auto result = store::Put(world.platform.store, key, value, ConditionOf(precondition));
    auto error = ErrorOf(world, result, key);
    if (error) return *error;
    return world.platform.store.revision;
  };
  Call<std::uint64_t>(world, process, key, done, serve);
}

auto Delete(World& world, const std::string& process, const std::string& key,
            std::uint64_t if_revision, const platform::Callback<std::monostate>& done) -> void {
  auto serve = [&world, key, if_revision]() -> platform::Outcome<std::monostate> {
    auto result = store::Delete(world.platform.store, key, store::IfRevision{if_revision});
    auto error = ErrorOf(world, result, key);
    if (error) return *error;
    return std::monostate{};
  };
  Call<std::monostate>(world, process, key, done, serve, world.platform.delete_delay);
}

auto SetPlatformUp(World& world, bool up) -> void {
  world.platform.up = up;
  if (up) return;
  for (const auto& watch : std::exchange(world.platform.watches, {})) {
    AnswerWatch(world, watch, PlatformError{PlatformErrorCode::kAnswerLost, 0, ""});
  }
}

auto ValueOf(const FakePlatform& platform, std::string_view key) -> std::string {
  auto found = platform.store.objects.find(key);
  return found == platform.store.objects.end() ? std::string{} : *found->second.value;
}

namespace {

struct RunningWrite : std::enable_shared_from_this<RunningWrite> {
  RunningWrite(World& world, std::string process, platform::ConditionalWrite write,
               std::function<void(const platform::WriteResult&)> done)
      : world(world), process(std::move(process)), write(std::move(write)), done(std::move(done)) {}

  auto Apply(const platform::WriteEffects& effects) -> void;
  auto Take(const platform::WriteEvent& event) -> void {
    this->Apply(platform::Step(this->write, event, this->world.clock.now));
  }

  World& world;
  std::string process;
  platform::ConditionalWrite write;
  std::function<void(const platform::WriteResult&)> done;
};

auto RunningWrite::Apply(const platform::WriteEffects& effects) -> void {
  auto self = this->shared_from_this();
  if (effects.done) return this->done(*effects.done);
  if (effects.read) {
    return List(this->world, this->process, this->write.key,
                [self](const auto& outcome) { self->Take(platform::ReadAnswered{outcome}); });
  }
  if (effects.wait) {
    return AfterIn(this->world.clock, this->world.processes.at(this->process), *effects.wait,
                   [self] { self->Take(platform::WriteTimerFired{}); });
  }
  const auto& call = *effects.write;
  auto written = [self](const auto& outcome) { self->Take(platform::WriteAnswered{outcome}); };
  if (call.value) {
    return Put(this->world, this->process, this->write.key, *call.value, call.precondition,
               written);
  }
  auto revision = std::get<platform::IfMatch>(call.precondition).revision;
  Delete(this->world, this->process, this->write.key, revision, [self](const auto& outcome) {
    const auto* error = std::get_if<PlatformError>(&outcome);
    if (error != nullptr) return self->Take(platform::WriteAnswered{*error});
    self->Take(platform::WriteAnswered{std::uint64_t{0}});
  });
}

}  // namespace

auto RunWrite(World& world, const std::string& process, const std::string& key,
              platform::Propose propose, const platform::WritePolicy& policy, std::uint64_t seed,
              std::function<void(const platform::WriteResult&)> done) -> void {
  auto write = platform::MakeConditionalWrite(key, std::move(propose), policy, seed);
  auto running = std::make_shared<RunningWrite>(world, process, std::move(write), std::move(done));
  running->Apply(platform::Begin(running->write, world.clock.now));
}

}  // namespace anvildrum::scenario
