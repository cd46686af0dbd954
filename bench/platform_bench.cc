#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/internal/http_call.h"
#include "platform/prefix_watch.h"
#include "platform_standin/api.h"

// Slopes of following a prefix at the platform: processor time and bytes for each watch event and
// each listed object, memory for each known key, at several numbers of objects. The records have
// the size of a target's announcement.
namespace anvildrum::platform {
namespace {

constexpr auto kNow = base::TimePoint{base::hours(1)};
constexpr auto kMinObjects = 100;
constexpr auto kMaxObjects = 22'000;
constexpr auto kStep = 10;
constexpr auto kRecord = std::string_view(
    R"({"name":"desk-0001","service":"desk","incarnation":1764698739000000001,)"
    R"("tunnel":"10.11.12.13:7001","operator_port":"10.11.12.13:7002",)"
    R"("failure_domain":"boston-1","slots":4,"connections":2000,"draining":false})");

auto KeyOf(std::size_t index) -> std::string {
  return "targets/desk/desk-" + std::to_string(1'000'000 + index);
}

auto MakeListing(std::size_t objects) -> Listing {
  auto listing = Listing{objects, {}};
  for (auto i = std::size_t{0}; i < objects; ++i) {
    listing.items.push_back(Object{KeyOf(i), i + 1, false, std::string(kRecord)});
  }
  return listing;
}

auto MakeSyncedWatch(const Listing& listing) -> std::pair<PrefixWatch, std::uint64_t> {
  auto policy = WatchPolicy{};
  policy.resync = base::hours(1);
  auto watch = MakePrefixWatch("targets/", policy, 1);
  auto timer = std::get<StartTimer>(Begin(watch).next);
  auto begun = Step(watch, WatchTimerFired{timer.call}, kNow).value();
  auto call = std::get<StartList>(begun.next).call;
  auto synced = Step(watch, Listed{call, listing}, kNow).value();
  return {std::move(watch), std::get<StartWatch>(synced.next).call};
}

auto WatchEventStep(benchmark::State& state) -> void {
  auto objects = static_cast<std::size_t>(state.range(0));
  auto [watch, call] = MakeSyncedWatch(MakeListing(objects));
  auto revision = watch.revision;
  auto index = std::size_t{0};
  for (auto _ : state) {
    auto object = Object{KeyOf(index++ % objects), ++revision, false, std::string(kRecord)};
    auto answer = Watched{call, Listing{revision, {std::move(object)}}};
    auto effects = Step(watch, answer, kNow);
    call = std::get<StartWatch>(effects->next).call;
    benchmark::DoNotOptimize(effects);
  }
}

auto ListStep(benchmark::State& state) -> void {
  auto objects = static_cast<std::size_t>(state.range(0));
  auto listing = MakeListing(objects);
  for (auto _ : state) benchmark::DoNotOptimize(MakeSyncedWatch(listing));
  state.counters["per_object"] = benchmark::Counter(
      static_cast<double>(objects),
      benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

auto KnownKeyMemory(benchmark::State& state) -> void {
  auto objects = static_cast<std::size_t>(state.range(0));
  auto listing = MakeListing(objects);
  auto bytes = std::size_t{0};
  for (auto _ : state) {
    auto before = mallinfo2();
    auto synced = MakeSyncedWatch(listing);
    auto after = mallinfo2();
    bytes = after.uordblks + after.hblkhd - before.uordblks - before.hblkhd;
    benchmark::DoNotOptimize(synced);
  }
  state.counters["bytes_per_key"] = static_cast<double>(bytes) / static_cast<double>(objects);
}

// The stand-in's answer holds just what the API promises, so that its size is the slope.
auto AnswerOf(std::size_t objects, const std::string& target) -> std::string {
  auto platform = platform_standin::Platform{};
  platform.store.history_limit = objects;
  for (auto i = std::size_t{0}; i < objects; ++i) {
    platform_standin::Put(platform.store, KeyOf(i), std::string(kRecord),
                          platform_standin::IfAbsent{});
  }
  auto handled = platform_standin::Handle(platform, {"GET", target, "", "", ""});
  if (!handled.held) return handled.answer.body;
  return platform_standin::AnswerWatch(platform, *handled.held, true)->body;
}

auto ReadAnswer(benchmark::State& state, const HttpCall& call) -> void {
  auto objects = static_cast<std::size_t>(state.range(0));
  auto answer = HttpAnswer{200, "", AnswerOf(objects, call.target)};
  for (auto _ : state) benchmark::DoNotOptimize(ReadListing(call, answer));
  state.counters["bytes_per_object"] =
      static_cast<double>(answer.body.size()) / static_cast<double>(objects);
  state.counters["per_object"] = benchmark::Counter(
      static_cast<double>(objects),
      benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

auto ReadList(benchmark::State& state) -> void { ReadAnswer(state, ListCall("targets/")); }
auto ReadEvents(benchmark::State& state) -> void { ReadAnswer(state, WatchCall("targets/", 0, 1)); }

BENCHMARK(WatchEventStep)->RangeMultiplier(kStep)->Range(kMinObjects, kMaxObjects);
BENCHMARK(ListStep)->RangeMultiplier(kStep)->Range(kMinObjects, kMaxObjects);
BENCHMARK(KnownKeyMemory)->RangeMultiplier(kStep)->Range(kMinObjects, kMaxObjects);
BENCHMARK(ReadList)->RangeMultiplier(kStep)->Range(kMinObjects, kMaxObjects);
BENCHMARK(ReadEvents)->RangeMultiplier(kStep)->Range(kMinObjects, kMaxObjects);

}  // namespace
}  // namespace anvildrum::platform

BENCHMARK_MAIN();
