// Cost of the request core: nanoseconds a request through Step, of Echo, and ledger bytes a
// request.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <vector>

#include "requests/coap_message.h"
#include "requests/echo.h"
#include "requests/ledger.h"
#include "requests/requests.h"

namespace anvildrum::requests {
namespace {

constexpr std::uint8_t kGet = 1;
constexpr std::uint8_t kPost = 2;

auto FlowOfClient(std::uint32_t client) -> base::FlowKey {
  return {base::EndpointFromV4(0x0a000000 + client, 40000), base::ServiceIdOf("desk")};
}

auto Request(std::uint8_t method, std::uint16_t message_id) -> Bytes {
  auto high = static_cast<std::uint8_t>(message_id >> 8);
  auto low = static_cast<std::uint8_t>(message_id);
  return {0x42, method, high, low, high, low, 0xb4, 'h', 'o', 'l', 'd', 0xff, 'A', '-', 'B'};
}

auto AnswerTo(BytesView request) -> Bytes {
  auto answer = Bytes(request.begin(), request.begin() + 4 + (request[0] & 0x0f));
  answer[0] = static_cast<std::uint8_t>(0x60 | (request[0] & 0x0f));
  answer[1] = 0x44;
  answer.insert(answer.end(), {0xff, 'o', 'k'});
  return answer;
}

template <typename Kind>
auto BytesIn(const Effects& effects) -> Bytes {
  for (const auto& effect : effects) {
    if (const auto* sent = std::get_if<Kind>(&effect)) return sent->bytes;
  }
  return {};
}

struct Bed {
  StatePtr core;
  base::TimePoint now{base::hours(1)};
  std::uint16_t message_id = 0;
  std::uint32_t client = 0;
};

auto MakeBed() -> Bed {
  auto parameters = Parameters{};
  parameters.ledger_bytes = std::size_t{1} << 30U;
  auto bed = Bed{};
  bed.core = RequestsBuilder{}.WithParameters(parameters).Build();
  return bed;
}

auto RunRequest(Bed& bed, const base::FlowKey& flow, BytesView bytes) -> void {
  auto sent = BytesIn<SendToTarget>(Step(*bed.core, ClientDatagram{flow, bytes}, bed.now));
  auto answer = AnswerTo(sent);
  benchmark::DoNotOptimize(Step(*bed.core, TargetDatagram{flow, answer}, bed.now));
}

auto RunPost(Bed& bed, const base::FlowKey& flow) -> void {
  auto first = Request(kPost, bed.message_id++);
  auto challenge = BytesIn<SendToClient>(Step(*bed.core, ClientDatagram{flow, first}, bed.now));
  auto next = Request(kPost, bed.message_id++);
  auto echo = ParseMessage(challenge).value().echo.value();
  RunRequest(bed, flow, WithEcho(ParseMessage(next).value(), echo));
}

// One GET, from the client's datagram to its answer: two steps.
auto GetThroughStep(benchmark::State& state) -> void {
  auto bed = MakeBed();
  for (auto _ : state) {
    bed.now += base::milliseconds(5);
    RunRequest(bed, FlowOfClient(bed.client++ % 1000), Request(kGet, bed.message_id++));
  }
}
BENCHMARK(GetThroughStep);

// One POST with its challenge: three steps; includes the client's work to add the Echo option.
// At 200 a second the ledger holds those of the last 247 s.
auto PostThroughStep(benchmark::State& state) -> void {
  auto bed = MakeBed();
  for (auto _ : state) {
    bed.now += base::milliseconds(5);
    RunPost(bed, FlowOfClient(bed.client++ % 1000));
  }
  auto busy = RequestLoadOf(*bed.core, bed.now);
  state.counters["entries"] = static_cast<double>(busy.ledger_entries);
}
BENCHMARK(PostThroughStep);

// A retransmission that gets the kept answer.
auto RetransmissionThroughStep(benchmark::State& state) -> void {
  auto bed = MakeBed();
  auto flow = FlowOfClient(1);
  auto first = Request(kPost, 1);
  auto challenge = BytesIn<SendToClient>(Step(*bed.core, ClientDatagram{flow, first}, bed.now));
  auto echo = ParseMessage(challenge).value().echo.value();
  auto post = WithEcho(ParseMessage(Request(kPost, 2)).value(), echo);
  RunRequest(bed, flow, post);
  for (auto _ : state) {
    benchmark::DoNotOptimize(Step(*bed.core, ClientDatagram{flow, post}, bed.now));
  }
}
BENCHMARK(RetransmissionThroughStep);

// Ledger bytes of an answered POST, as counted against the limit and as the allocator sees them, at
// several sizes.
auto LedgerBytes(benchmark::State& state) -> void {
  auto busy = RequestLoad{};
  auto allocated = std::size_t{0};
  for (auto _ : state) {
    auto bed = MakeBed();
    auto before = mallinfo2().uordblks;
    for (auto i = std::int64_t{0}; i < state.range(0); ++i) {
      RunPost(bed, FlowOfClient(static_cast<std::uint32_t>(i % 1000)));
    }
    busy = RequestLoadOf(*bed.core, bed.now);
    allocated = mallinfo2().uordblks - before;
  }
  auto entries = static_cast<double>(busy.ledger_entries);
  state.counters["allocated_per_request"] = static_cast<double>(allocated) / entries;
  state.counters["bytes_per_request"] = static_cast<double>(busy.ledger_bytes) / entries;
}
BENCHMARK(LedgerBytes)->Arg(1000)->Arg(10000)->Arg(100000)->Unit(benchmark::kMillisecond);

auto EchoMinting(benchmark::State& state) -> void {
  auto mint = EchoMint{{1}, 1, 0};
  auto binding = EchoBinding{FlowOfClient(1), {}, 7};
  for (auto _ : state) benchmark::DoNotOptimize(MintEcho(mint, binding, base::TimePoint{}));
}
BENCHMARK(EchoMinting);

auto EchoChecking(benchmark::State& state) -> void {
  auto mint = EchoMint{{1}, 1, 0};
  auto binding = EchoBinding{FlowOfClient(1), {}, 7};
  auto echo = MintEcho(mint, binding, base::TimePoint{}).value;
  for (auto _ : state) benchmark::DoNotOptimize(CheckEcho(mint, binding, echo));
}
BENCHMARK(EchoChecking);

auto Parsing(benchmark::State& state) -> void {
  auto bytes = Request(kPost, 1);
  for (auto _ : state) benchmark::DoNotOptimize(ParseMessage(bytes));
}
BENCHMARK(Parsing);

}  // namespace
}  // namespace anvildrum::requests

BENCHMARK_MAIN();
