#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "membership/suspicion.h"
#include "membership/view.h"
#include "wire/datagram.h"

/// A balancer's observation of agents and other balancers: which ones it probes, what it suspects.
/// No input or output.
namespace anvildrum::balancer {

struct MonitorPolicy {
  membership::SuspicionPolicy suspicion;
  /// Up to this many agents and balancers are probed by every balancer. Beyond, each one is probed
  /// by `monitors` balancers, so that a probe's cost does not grow with the product of balancers
  /// and agents: more than relay::RelayPolicy::suspicion_quorum, so that one may die.
  std::size_t probe_all_limit = 64;
  std::size_t monitors = 5;
  /// Of these, so many are of the nearest other failure domain: a quorum.
  std::size_t monitors_outside = 3;
};

struct Monitor {
  MonitorPolicy policy;
  base::InstanceId self;
  base::Incarnation incarnation = 0;
  membership::View view;
  membership::Suspicion suspicion;
  std::uint64_t probes_sent = 0;
  std::uint64_t probes_answered = 0;
};

struct MonitorView {
  const membership::View* view = nullptr;
};
struct MonitorMessage {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
};
struct MonitorTimer {};
using MonitorEvent = std::variant<MonitorView, MonitorMessage, MonitorTimer>;

struct SendControl {
  base::Endpoint to;
  wire::pb::TunnelHeader header;
};
/// The opinion on a target changed.
struct TargetSuspicion {
  membership::TargetRecord record;
  bool suspect = false;
};
/// The opinion on another balancer changed. Packets are never routed by it; it clears the record of
/// a balancer that died, or stopped while the platform was away, and could not take it back itself.
struct BalancerSuspicion {
  membership::BalancerRecord record;
  bool suspect = false;
};
struct MonitorEffects {
  std::vector<SendControl> sends;
  std::vector<TargetSuspicion> changes;
  std::vector<BalancerSuspicion> balancer_changes;
};

/// The monitor's one entry. Answers probes, sends its own, and reports what it suspects.
auto Step(Monitor& monitor, const MonitorEvent& event, base::TimePoint now) -> MonitorEffects;

}  // namespace anvildrum::balancer
