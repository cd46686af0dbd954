#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "membership/suspicion.h"
#include "membership/view.h"
#include "wire/datagram.h"

/// A balancer's observation of agents and other balancers: which ones it probes and which ones it
/// suspects. It does no input or output itself.
namespace anvildrum::balancer {

struct MonitorPolicy {
  membership::SuspicionPolicy suspicion;
  /// Up to this number of agents and balancers, every balancer probes all of them. Above it, each
  /// one is probed by `monitors` balancers, so that the cost of probes does not grow with the
  /// product of balancers and agents. `monitors` is larger than
  /// relay::RelayPolicy::suspicion_quorum, so that one monitor may die.
  std::size_t probe_all_limit = 64;
  std::size_t monitors = 5;
  /// Number of these that are in the nearest other failure domains: a quorum.
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
/// A target's suspicion changed.
struct TargetSuspicion {
  membership::TargetRecord record;
  bool suspect = false;
};
/// Another balancer's suspicion changed. It does not affect routing. It leads to the removal of the
/// record of a balancer that died, or that stopped while the platform was down and could not remove
/// its record itself.
struct BalancerSuspicion {
  membership::BalancerRecord record;
  bool suspect = false;
};
struct MonitorEffects {
  std::vector<SendControl> sends;
  std::vector<TargetSuspicion> changes;
  std::vector<BalancerSuspicion> balancer_changes;
};

/// Applies an event: answers probes, sends the monitor's own and reports changes of suspicion.
auto Step(Monitor& monitor, const MonitorEvent& event, base::TimePoint now) -> MonitorEffects;

}  // namespace anvildrum::balancer
