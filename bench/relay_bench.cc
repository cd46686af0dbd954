// Processor time of the relay's core for each kind of event, at several sizes.
#include <benchmark/benchmark.h>

#include <string>
#include <variant>

#include "relay/relay.h"

namespace anvildrum::relay {
namespace {

const base::TimePoint kNow{base::seconds(1000)};
constexpr std::uint64_t kConfigRevision = 1;

auto TargetKey(std::int64_t index) -> std::string {
  return "targets/service-" + std::to_string(index / 4) + "/t" + std::to_string(index);
}

/// What an agent announces, about 300 bytes.
auto RecordText(std::int64_t index) -> std::string {
  const std::string number = std::to_string(index);
  const std::string noise = std::to_string(base::HashName(number));
  return "{\"name\":\"t" + number + "\",\"service\":\"service-" + std::to_string(index / 4) +
         "\",\"instance\":\"agent-" + noise + "\",\"incarnation\":" + noise + ",\"tunnel\":\"10." +
         std::to_string(index % 251) + "." + std::to_string(index / 251) +
         ".7:7100\",\"operator_port\":\"10." + std::to_string(index % 251) + "." +
         std::to_string(index / 251) + ".7:7200\",\"failure_domain\":\"region-" +
         std::to_string(index % 7) + "-fd-" + std::to_string(index % 26) +
         "\",\"slots\":4,\"connections\":2000,\"draining\":false}";
}

auto ConfigText(std::int64_t bytes, std::uint64_t number) -> std::string {
  std::string text;
  for (std::uint64_t i = 0; text.size() < static_cast<std::size_t>(bytes); ++i) {
    const std::uint64_t weight = i == number % 64 ? number : i * 7919 % 1009;
    text += "{\"name\":\"service-" + std::to_string(i) + "\",\"weight\":" + std::to_string(weight) +
            "},";
  }
  return text;
}

/// A root that holds `records` target records and a configuration of `config_bytes`.
auto MakeRoot(std::int64_t records, std::int64_t config_bytes) -> State {
  RelaySettings settings;
  settings.self.instance = base::InstanceId{1};
  settings.self.failure_domain = "fd0";
  State state = MakeState(settings);
  Step(state, Started{}, kNow);
  PlatformObjects all{.objects = {}, .revision = kConfigRevision, .complete = true};
  all.objects.push_back({.key = "config",
                         .revision = kConfigRevision,
                         .value = ConfigText(config_bytes, 1),
                         .number = 1});
  for (std::int64_t i = 0; i < records; ++i) {
    all.revision = kConfigRevision + 1 + static_cast<std::uint64_t>(i);
    all.objects.push_back({.key = TargetKey(i), .revision = all.revision, .value = RecordText(i)});
  }
  Step(state, all, kNow);
  state.root = true;
  return state;
}

auto SubscribeFrom(std::uint64_t child) -> PeerMessage {
  PeerMessage event{.sender = base::InstanceId{child}, .endpoint = {}, .message = {}};
  event.message.set_sender(child);
  event.message.mutable_subscribe();
  return event;
}

auto AddChildren(State& state, std::int64_t children) -> void {
  for (std::int64_t i = 0; i < children; ++i) {
    Step(state, SubscribeFrom(100 + static_cast<std::uint64_t>(i)), kNow);
  }
}

auto BytesOf(const Effects& effects) -> std::size_t {
  std::size_t bytes = 0;
  for (const Effect& effect : effects) {
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send != nullptr) bytes += send->message->ByteSizeLong();
  }
  return bytes;
}

auto ReportBytes(benchmark::State& bench, std::size_t bytes) -> void {
  bench.counters["bytes_per_event"] =
      benchmark::Counter(static_cast<double>(bytes), benchmark::Counter::kAvgIterations);
}

/// One record changes: taken and passed on to the children.
auto RecordChange(benchmark::State& bench) -> void {
  State state = MakeRoot(1'000, 1'000);
  AddChildren(state, bench.range(0));
  std::uint64_t revision = state.store.horizon;
  std::size_t bytes = 0;
  for (auto _ : bench) {
    PlatformObjects event{.objects = {}, .revision = ++revision, .complete = false};
    event.objects.push_back({.key = TargetKey(static_cast<std::int64_t>(revision % 1'000)),
                             .revision = revision,
                             .value = RecordText(static_cast<std::int64_t>(revision))});
    bytes += BytesOf(Step(state, event, kNow));
  }
  ReportBytes(bench, bytes);
}
BENCHMARK(RecordChange)->Arg(0)->Arg(1)->Arg(8)->Arg(16)->Arg(32);

/// The configuration changes at a root with eight children: the difference is made once.
auto ConfigChange(benchmark::State& bench) -> void {
  State state = MakeRoot(10, bench.range(0));
  AddChildren(state, 8);
  std::uint64_t revision = state.store.horizon;
  std::uint64_t number = 1;
  std::size_t bytes = 0;
  for (auto _ : bench) {
    PlatformObjects event{.objects = {}, .revision = ++revision, .complete = false};
    ++number;
    event.objects.push_back({.key = "config",
                             .revision = revision,
                             .value = ConfigText(bench.range(0), number),
                             .number = number});
    bytes += BytesOf(Step(state, event, kNow));
  }
  ReportBytes(bench, bytes);
}
BENCHMARK(ConfigChange)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Unit(benchmark::kMicrosecond);

/// The same change at a balancer that hears of it from its parent and has eight children.
auto ConfigDelta(benchmark::State& bench) -> void {
  State root = MakeRoot(10, bench.range(0));
  State inner = MakeRoot(10, bench.range(0));
  AddChildren(root, 1);
  AddChildren(inner, 8);
  const base::Endpoint endpoint = base::EndpointFromV4(0x0A000001, 7000);
  inner.parents[endpoint].endpoint = endpoint;
  inner.parents[endpoint].heard_at = kNow;
  std::uint64_t revision = root.store.horizon;
  std::uint64_t number = 1;
  std::size_t bytes = 0;
  for (auto _ : bench) {
    bench.PauseTiming();
    PlatformObjects event{.objects = {}, .revision = ++revision, .complete = false};
    ++number;
    event.objects.push_back({.key = "config",
                             .revision = revision,
                             .value = ConfigText(bench.range(0), number),
                             .number = number});
    PeerMessage update{.sender = base::InstanceId{1}, .endpoint = endpoint, .message = {}};
    for (const Effect& effect : Step(root, event, kNow)) {
      const auto* send = std::get_if<SendPeer>(&effect);
      if (send != nullptr) update.message = *send->message;
    }
    bench.ResumeTiming();
    bytes += BytesOf(Step(inner, update, kNow));
  }
  ReportBytes(bench, bytes);
}
BENCHMARK(ConfigDelta)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Unit(benchmark::kMicrosecond);

/// A timer's tick with heartbeats to the children.
auto Heartbeats(benchmark::State& bench) -> void {
  State state = MakeRoot(1'000, 1'000);
  AddChildren(state, bench.range(0));
  base::TimePoint now = kNow;
  std::size_t bytes = 0;
  for (auto _ : bench) {
    now += base::milliseconds(900);
    for (auto& [instance, child] : state.children) child.renewed_at = now;
    bytes += BytesOf(Step(state, TimerFired{}, now));
  }
  ReportBytes(bench, bytes);
}
BENCHMARK(Heartbeats)->Arg(0)->Arg(8)->Arg(16)->Arg(32);

/// Many join in a row, as when a failure domain returns: the set is packed once.
auto JoinAgain(benchmark::State& bench) -> void {
  State state = MakeRoot(bench.range(0), 1'000);
  std::size_t bytes = 0;
  for (auto _ : bench) {
    state.children.clear();
    bytes += BytesOf(Step(state, SubscribeFrom(100), kNow));
  }
  ReportBytes(bench, bytes);
}
BENCHMARK(JoinAgain)->Arg(1'000)->Arg(5'000)->Arg(26'100)->Unit(benchmark::kMicrosecond);

/// A child joins and gets everything.
auto Join(benchmark::State& bench) -> void {
  State state = MakeRoot(bench.range(0), 1'000);
  std::size_t bytes = 0;
  for (auto _ : bench) {
    state.children.clear();
    state.packed = {};
    bytes += BytesOf(Step(state, SubscribeFrom(100), kNow));
  }
  ReportBytes(bench, bytes);
}
BENCHMARK(Join)->Arg(1'000)->Arg(5'000)->Arg(26'100)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace anvildrum::relay

BENCHMARK_MAIN();
