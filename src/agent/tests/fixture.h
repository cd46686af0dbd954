#pragma once

#include <string>

#include "agent/agent.h"
#include "wire/convert.h"

namespace anvildrum::agent {

inline constexpr auto kStart = base::TimePoint{} + base::hours(1);
inline const auto kDesk = base::ServiceIdOf("desk");
inline const auto kClient = base::EndpointFromV4(0x7f000009, 7000);
inline const auto kFlow = base::FlowKey{kClient, kDesk};

// Confirmable GET with message ID 1, token aa, no options (RFC 7252, 3).
inline const auto kGet = wire::Bytes{0x41, 0x01, 0x00, 0x01, 0xaa};

auto RecordOf(const std::string& name, std::uint16_t port) -> membership::TargetRecord;
auto BalancerOf(const std::string& name, std::uint16_t port) -> membership::BalancerRecord;

/// A single agent of its service, with two balancers.
struct Fixture {
  Agent agent;
  base::TimePoint now = kStart;

  explicit Fixture(bool predecessor_lost = false);

  auto Run(const Event& event) -> Effects;
  auto RunTimers(base::Duration span) -> Effects;
  auto Deliver(const wire::Bytes& payload, const std::string& balancer, std::uint16_t port)
      -> Effects;
};

template <typename Kind>
auto Find(const Effects& effects) -> const Kind* {
  for (const auto& effect : effects) {
    if (const auto* found = std::get_if<Kind>(&effect)) return found;
  }
  return nullptr;
}

/// Returns a 2.05 response to the target's datagram, with the same message ID and token.
auto AnswerTo(const SendTarget& sent) -> wire::Bytes;

/// Returns the datagram of the first reply to a client; empty if there is none.
auto ReplyIn(const Effects& effects) -> wire::Bytes;

}  // namespace anvildrum::agent
