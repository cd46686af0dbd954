#include "requests/echo.h"

#include <algorithm>

#include "base/siphash.h"

namespace anvildrum::requests {
namespace {

constexpr auto kWord = std::size_t{8};
constexpr auto kIssueOffset = kWord;
constexpr auto kFlowMacOffset = 2 * kWord;
constexpr auto kContentMacOffset = 3 * kWord;
constexpr auto kClientSize = std::size_t{18};
// Client address and port, service, origin, issue number, content digest.
constexpr auto kFlowInputSize = kClientSize + 3 * kWord;
constexpr auto kContentInputSize = kFlowInputSize + kWord;

using MacInput = std::array<std::uint8_t, kContentInputSize>;

auto WriteWord(std::uint64_t value, std::uint8_t* out) -> void {
  for (auto i = std::size_t{0}; i < kWord; ++i) {
    out[i] = static_cast<std::uint8_t>(value >> (8 * (kWord - 1 - i)));
  }
}

auto ReadWord(const std::uint8_t* in) -> std::uint64_t {
  auto value = std::uint64_t{0};
  for (auto i = std::size_t{0}; i < kWord; ++i) value = value << 8 | in[i];
  return value;
}

auto InputOf(const EchoBinding& binding, std::uint64_t issue) -> MacInput {
  auto input = MacInput{};
  const auto& client = binding.flow.client;
  auto* out = std::copy(client.address.begin(), client.address.end(), input.data());
  *out++ = static_cast<std::uint8_t>(client.port >> 8);
  *out++ = static_cast<std::uint8_t>(client.port);
  WriteWord(binding.flow.service.value, out);
  WriteWord(binding.origin.value, out + kWord);
  WriteWord(issue, out + 2 * kWord);
  WriteWord(binding.content_digest, out + 3 * kWord);
  return input;
}

}  // namespace

auto MintEcho(EchoMint& mint, const EchoBinding& binding, base::TimePoint now) -> MintedEcho {
  auto clock = std::chrono::duration_cast<base::nanoseconds>(now.time_since_epoch()).count();
  mint.last_issue = std::max(mint.last_issue + 1, static_cast<std::uint64_t>(clock));
  return {mint.last_issue, EchoOfIssue(mint, binding, mint.last_issue)};
}

auto EchoOfIssue(const EchoMint& mint, const EchoBinding& binding, std::uint64_t issue) -> Echo {
  auto echo = Echo{};
  auto input = InputOf(binding, issue);
  auto flow_mac = base::SipHash64(mint.secret, BytesView(input).first(kFlowInputSize));
  auto content_mac = base::SipHash64(mint.secret, input);
  WriteWord(mint.incarnation, echo.data());
  WriteWord(issue, echo.data() + kIssueOffset);
  std::copy(flow_mac.begin(), flow_mac.end(), echo.begin() + kFlowMacOffset);
  std::copy(content_mac.begin(), content_mac.end(), echo.begin() + kContentMacOffset);
  return echo;
}

auto CheckEcho(const EchoMint& mint, const EchoBinding& binding, BytesView value) -> EchoCheck {
  if (value.size() != kEchoSize) return {EchoVerdict::kForeign, 0};
  if (ReadWord(value.data()) != mint.incarnation) return {EchoVerdict::kForeign, 0};
  auto issue = ReadWord(value.data() + kIssueOffset);
  auto expected = EchoOfIssue(mint, binding, issue);
  if (!base::SameCode(value.subspan(kFlowMacOffset, kWord),
                      BytesView(expected).subspan(kFlowMacOffset, kWord))) {
    return {EchoVerdict::kForeign, 0};
  }
  auto content_matches = base::SameCode(value.subspan(kContentMacOffset, kWord),
                                        BytesView(expected).subspan(kContentMacOffset, kWord));
  return {content_matches ? EchoVerdict::kMinted : EchoVerdict::kOtherContent, issue};
}

auto EchoAge(std::uint64_t issue, base::TimePoint now) -> base::Duration {
  auto minted = base::TimePoint(base::nanoseconds(static_cast<std::int64_t>(issue)));
  return now - minted;
}

}  // namespace anvildrum::requests
