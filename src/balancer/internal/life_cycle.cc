#include "balancer/internal/life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace anvildrum::balancer {
namespace {

namespace msm = boost::msm;

struct Configured {};
struct Stop {};
struct Withdrawn {};

struct LifeCycleFront : msm::front::state_machine_def<LifeCycleFront> {
  struct Starting : msm::front::state<> {};
  struct Ready : msm::front::state<> {};
  struct Stopping : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Starting;
  template <typename Source, typename Event, typename Next>
  using Row = msm::front::Row<Source, Event, Next, msm::front::none, msm::front::none>;
  // A stopping balancer forwards packets until the fabric has withdrawn it, because the fabric may
  // still send it packets of established flows.
  struct transition_table  // NOLINT(readability-identifier-naming): the name that MSM looks for
      : boost::mpl::vector<Row<Starting, Configured, Ready>, Row<Starting, Stop, Stopped>,
                           Row<Ready, Stop, Stopping>, Row<Stopping, Withdrawn, Stopped>> {};
  template <typename Machine, typename Event>
  auto no_transition(const Event&, Machine&, int) -> void {}  // NOLINT: the name that MSM calls
};
using LifeCycle = msm::back::state_machine<LifeCycleFront>;

auto Process(LifeCycle& machine, LifeEvent event) -> void {
  switch (event) {
    case LifeEvent::kConfigured:
      machine.process_event(Configured{});
      return;
    case LifeEvent::kStop:
      machine.process_event(Stop{});
      return;
    case LifeEvent::kWithdrawn:
      machine.process_event(Withdrawn{});
      return;
  }
}

// MSM numbers the states in the order of the table's sources, then of its targets.
constexpr auto kPhases =
    std::array{Phase::kStarting, Phase::kReady, Phase::kStopping, Phase::kStopped};

// Returns a machine in the given phase. The balancer stores only the phase, and changes it rarely.
auto MachineIn(Phase phase) -> LifeCycle {
  auto machine = LifeCycle();
  machine.start();
  if (phase == Phase::kStarting) return machine;
  machine.process_event(Configured{});
  if (phase == Phase::kReady) return machine;
  machine.process_event(Stop{});
  if (phase == Phase::kStopped) machine.process_event(Withdrawn{});
  return machine;
}

}  // namespace

auto NextPhase(Phase phase, LifeEvent event) -> Phase {
  auto machine = MachineIn(phase);
  Process(machine, event);
  return kPhases[static_cast<std::size_t>(machine.current_state()[0])];
}

}  // namespace anvildrum::balancer
