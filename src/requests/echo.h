#pragma once

#include <array>
#include <cstdint>

#include "base/siphash.h"
#include "base/types/flow_key.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "requests/types/bytes.h"

namespace anvildrum::requests {

/// 128-bit key of the Echo values, generated for each incarnation.
using EchoSecret = base::SipHashKey;

/// Echo value (RFC 9175, 2.2.1: 1 to 40 bytes). Layout, big-endian, 8 bytes each: incarnation,
/// issue number, MAC over flow and issue number, MAC over flow, issue number and content. The MACs
/// are SipHash-2-4. The incarnation is in plain text, so that a restarted agent recognises a value
/// of its predecessor. The second MAC distinguishes the challenged request from another request of
/// the flow that carries a value cached by its client.
inline constexpr std::size_t kEchoSize = 32;
using Echo = std::array<std::uint8_t, kEchoSize>;

/// Creates and checks the values of one agent incarnation.
struct EchoMint {
  EchoSecret secret{};
  base::Incarnation incarnation = 0;
  std::uint64_t last_issue = 0;  ///< clock in nanoseconds, incremented where needed to be unique
};

/// What a value is bound to. `origin` is the agent that handed the request on, or 0 for a client.
struct EchoBinding {
  base::FlowKey flow;
  base::InstanceId origin;
  std::uint64_t content_digest = 0;
};

enum class EchoVerdict : std::uint8_t {
  kMinted,        ///< by this incarnation for this flow and this content
  kOtherContent,  ///< by this incarnation for this flow, but for another content
  kForeign,       ///< by another incarnation, for another flow, or not a valid Echo value
};

struct EchoCheck {
  EchoVerdict verdict = EchoVerdict::kForeign;
  std::uint64_t issue = 0;  ///< for kMinted and kOtherContent: identifies the value
};

struct MintedEcho {
  std::uint64_t issue = 0;
  Echo value{};
};

/// Creates a value with an issue number of its own.
auto MintEcho(EchoMint& mint, const EchoBinding& binding, base::TimePoint now) -> MintedEcho;

/// Returns the value of an issue number again, for a repeated challenge.
auto EchoOfIssue(const EchoMint& mint, const EchoBinding& binding, std::uint64_t issue) -> Echo;

auto CheckEcho(const EchoMint& mint, const EchoBinding& binding, BytesView value) -> EchoCheck;

/// Returns the time since a value was created.
auto EchoAge(std::uint64_t issue, base::TimePoint now) -> base::Duration;

}  // namespace anvildrum::requests
