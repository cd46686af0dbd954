#include <algorithm>
#include <array>
#include <string>
#include <variant>

#include "measure.h"
#include "requests/coap_message.h"
#include "requests/requests.h"
#include "sample.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kRequestCounts = std::array{500, 2000, 8000};
constexpr auto kNow = base::TimePoint{base::seconds(1000)};
constexpr auto kStep = base::milliseconds(1);
constexpr auto kGet = std::uint8_t{1};
constexpr auto kPost = std::uint8_t{2};
constexpr auto kSecondMessageId = std::uint8_t{0x80};
constexpr auto kFlows = 100U;
constexpr auto kLedgerBytes = std::size_t{1}
                              << 28U;  // no refusals: the slope is wanted, not the bound
constexpr auto kConfirmableWithToken4 = std::uint8_t{0x44};
constexpr auto kContent = std::uint8_t{2 << 5 | 5};
constexpr auto kUriPath4 = std::uint8_t{0xb4};
constexpr auto kPayloadMarker = std::uint8_t{0xff};
constexpr auto kAcknowledgement = std::uint8_t{0x60};
constexpr auto kHeaderSize = std::size_t{4};
constexpr auto kAnswerSize = std::size_t{64};

auto RequestBytes(std::uint8_t code, std::uint32_t index) -> wire::Bytes {
  auto high = static_cast<std::uint8_t>(index >> 8U);
  auto low = static_cast<std::uint8_t>(index);
  return {kConfirmableWithToken4, code, high, low, 0, 0, high, low, kUriPath4, 'f', 'e', 'e', 'd'};
}

// A piggybacked answer: the request's token follows its four bytes of header.
auto AnswerBytes(const requests::Message& request) -> wire::Bytes {
  auto head = kHeaderSize + request.token.size;
  auto bytes = wire::Bytes(head + 1 + kAnswerSize, 'x');
  std::copy_n(request.whole.begin(), head, bytes.begin());
  bytes[0] = static_cast<std::uint8_t>(kAcknowledgement | request.token.size);
  bytes[1] = kContent;
  bytes[head] = kPayloadMarker;
  return bytes;
}

auto AnswerFromTarget(requests::State& state, const base::FlowKey& flow,
                      const requests::Effects& effects, base::TimePoint now) -> void {
  for (const auto& effect : effects) {
    const auto* send = std::get_if<requests::SendToTarget>(&effect);
    if (send == nullptr) continue;
    auto answer = AnswerBytes(requests::ParseMessage(send->bytes).value());
    requests::Step(state, requests::TargetDatagram{flow, answer}, now);
  }
}

// The request again with the Echo value of its challenge, or empty when there was none.
auto WithChallengeEcho(const wire::Bytes& request, const requests::Effects& effects)
    -> wire::Bytes {
  for (const auto& effect : effects) {
    const auto* send = std::get_if<requests::SendToClient>(&effect);
    if (send == nullptr) continue;
    auto challenge = requests::ParseMessage(send->bytes).value();
    if (!challenge.echo) continue;
    auto again = requests::WithEcho(requests::ParseMessage(request).value(), *challenge.echo);
    again[2] = static_cast<std::uint8_t>(again[2] | kSecondMessageId);
    return again;
  }
  return {};
}

// One request through admission, target and answer; a POST through its challenge first.
auto RunRequest(requests::State& state, std::uint8_t code, std::uint32_t index) -> void {
  auto now = kNow + index * kStep;
  auto flow = SampleFlow();
  flow.client.port = static_cast<std::uint16_t>(index % kFlows);
  auto request = RequestBytes(code, index);
  auto effects = requests::Step(state, requests::ClientDatagram{flow, request}, now);
  auto again = WithChallengeEcho(request, effects);
  if (!again.empty()) {
    effects = requests::Step(state, requests::ClientDatagram{flow, again}, now);
  }
  AnswerFromTarget(state, flow, effects, now);
}

auto RunRequests(std::uint8_t code, int count) -> requests::StatePtr {
  auto parameters = requests::Parameters{};
  parameters.ledger_bytes = kLedgerBytes;
  auto state = requests::RequestsBuilder{}.WithParameters(parameters).Build();
  for (auto i = 0; i < count; ++i) RunRequest(*state, code, static_cast<std::uint32_t>(i));
  return state;
}

auto CostSlope(const std::string& name, std::uint8_t code) -> Slope {
  auto slope = Slope{name, "ns", "request", {}};
  for (auto count : kRequestCounts) {
    auto work = [&] { Keep(RunRequests(code, count)); };
    slope.points.push_back({static_cast<double>(count), NanosecondsPerCall(work)});
  }
  return slope;
}

auto LedgerSlopes() -> std::vector<Slope> {
  auto heap = Slope{"ledger_heap_bytes", "bytes", "POST remembered", {}};
  auto counted = Slope{"ledger_counted_bytes", "bytes", "POST remembered", {}};
  for (auto count : kRequestCounts) {
    auto before = AllocatedBytes();
    auto state = RunRequests(kPost, count);
    auto size = static_cast<double>(count);
    heap.points.push_back({size, AllocatedBytes() - before});
    auto busy = requests::RequestLoadOf(*state, kNow);
    counted.points.push_back({size, static_cast<double>(busy.ledger_bytes)});
  }
  return {heap, counted};
}

}  // namespace

auto MeasureRequests() -> std::vector<Slope> {
  auto all = LedgerSlopes();
  all.push_back(CostSlope("request_get_ns", kGet));
  all.push_back(CostSlope("request_post_ns", kPost));
  return all;
}

}  // namespace anvildrum::capacity
