#pragma once

#include <random>
#include <vector>

#include "packets/balancer.h"

/// A random sequence of reports and openings, the same on every platform, for comparing placements.
namespace anvildrum::packets::placement_tests {

inline constexpr auto kStart = base::TimePoint{base::seconds{1000}};
inline constexpr auto kRoute = End{0xc6120001, 443};
inline constexpr auto kFirstAgent = Address{0x0a010001};
inline constexpr auto kDesk = base::ServiceId{11};

struct Replay {
  explicit Replay(Balancer start, bool even) : balancer(std::move(start)), even(even) {
    auto routes = Routes{};
    routes.version = 1;
    routes.shares[KeyOf(kRoute)] = {{kDesk, 1}};
    this->balancer.domain = 2;
    ApplyRoutes(this->balancer, routes, this->now);
    for (auto i = Address{0}; i < kAgents; ++i) this->Report(i);
  }

  /// Returns a number below `bound`. std::uniform_int_distribution differs between libraries.
  auto Below(std::uint64_t bound) -> std::uint64_t { return this->random() % bound; }

  /// A report of random load. If the targets are not even, also of random failures and speed.
  auto Report(Address index) -> void {
    auto report = TargetReport{.agent = kFirstAgent + index, .service = kDesk, .start = 1};
    report.sequence = ++this->sequence;
    report.state = this->Below(20) == 0 ? TargetState::kDraining : TargetState::kReady;
    report.in_flight = static_cast<std::uint32_t>(this->Below(9));
    report.held = static_cast<std::uint32_t>(this->Below(40));
    report.slots = static_cast<std::uint32_t>(this->Below(5));
    report.cold = this->Below(15) == 0;
    report.domain = 1 + index % 3;
    const auto failed = static_cast<std::uint32_t>(this->Below(40));
    const auto service_ms = static_cast<int>(this->Below(100));
    report.answered = 40;
    report.failed = this->even ? 0 : failed;
    report.service_time = base::milliseconds{this->even ? 30 : service_ms};
    TakeReport(this->balancer.view, report, this->now);
  }

  /// Takes one step. Returns the agent that was chosen for an opening; 0 for none or no opening.
  auto Step() -> Address {
    this->now += base::microseconds{this->Below(4000)};
    if (this->Below(3) == 0) {
      this->Report(static_cast<Address>(this->Below(kAgents)));
      return 0;
    }
    const auto port = static_cast<std::uint16_t>(1 + this->Below(20'000));
    auto packet = Packet{.source = {0x64400007, port}, .destination = kRoute};
    packet.synchronize = true;
    packet.acknowledged = static_cast<std::uint32_t>(this->Below(8) == 0 ? 1 : 0);
    const auto verdict = RoutePacket(this->balancer, packet, this->now);
    const auto* forward = std::get_if<ForwardToAgent>(&verdict);
    return forward == nullptr ? Address{0} : forward->agent;
  }

  static constexpr auto kAgents = Address{24};
  static constexpr auto kSteps = 30'000;

  Balancer balancer;
  bool even;
  std::mt19937_64 random{20'261'204};
  base::TimePoint now = kStart;
  std::uint64_t sequence = 0;
};

}  // namespace anvildrum::packets::placement_tests
