#pragma once

#include <array>
#include <cstdint>

#include "base/siphash.h"
#include "base/types/flow_key.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "requests/types/bytes.h"

namespace anvildrum::requests {

/// 128-bit key of the Echo values, drawn anew by each incarnation.
using EchoSecret = base::SipHashKey;

/// Echo value (RFC 9175, 2.2.1: 1 to 40 bytes). Layout, big-endian: incarnation, issue number,
/// MAC over flow and issue number, MAC over flow, issue number and content; 8 bytes each. The MACs
/// are SipHash-2-4. The incarnation is in the clear, so that a restarted agent recognises a value
/// of its predecessor; the second MAC tells a request that was challenged from another request of
/// the flow that merely carries a value its client has cached.
inline constexpr std::size_t kEchoSize = 32;
using Echo = std::array<std::uint8_t, kEchoSize>;

/// What mints and checks the values of one agent incarnation.
struct EchoMint {
  EchoSecret secret{};
  base::Incarnation incarnation = 0;
  std::uint64_t last_issue = 0;  ///< nanoseconds of the clock, made to rise with each value
};

/// What a value is bound to. `origin` is the agent that handed the request on, 0 for a client.
struct EchoBinding {
  base::FlowKey flow;
  base::InstanceId origin;
  std::uint64_t content_digest = 0;
};

enum class EchoVerdict : std::uint8_t {
  kMinted,        ///< by this incarnation for this flow and this content
  kOtherContent,  ///< by this incarnation for this flow, but for another request
  kForeign,       ///< by another incarnation or for another flow, or not an Echo value of ours
};

struct EchoCheck {
  EchoVerdict verdict = EchoVerdict::kForeign;
  std::uint64_t issue = 0;  ///< of kMinted and kOtherContent: names the value
};

struct MintedEcho {
  std::uint64_t issue = 0;
  Echo value{};
};

/// A new value; each has its own issue number.
auto MintEcho(EchoMint& mint, const EchoBinding& binding, base::TimePoint now) -> MintedEcho;

/// The value of an issue number again, for a repeated challenge.
auto EchoOfIssue(const EchoMint& mint, const EchoBinding& binding, std::uint64_t issue) -> Echo;

auto CheckEcho(const EchoMint& mint, const EchoBinding& binding, BytesView value) -> EchoCheck;

/// Time since a value was minted.
auto EchoAge(std::uint64_t issue, base::TimePoint now) -> base::Duration;

}  // namespace anvildrum::requests
